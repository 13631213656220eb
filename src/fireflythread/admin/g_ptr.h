#ifndef FIREFLYTHREAD_ADMIN_G_PTR_H_
#define FIREFLYTHREAD_ADMIN_G_PTR_H_

#include <glib-object.h>

#include <memory>

namespace fireflythread::admin::internal {

struct UnrefObject {
  auto operator()(gpointer object) const -> void { g_object_unref(object); }
};

/// Owns one reference to a GObject.
template <typename T>
using GPtr = std::unique_ptr<T, UnrefObject>;

/// Takes a further reference to an object that somebody else owns.
template <typename T>
[[nodiscard]] auto AddRef(T* object) -> GPtr<T> {
  return GPtr<T>(static_cast<T*>(g_object_ref(object)));
}

}  // namespace fireflythread::admin::internal

#endif  // FIREFLYTHREAD_ADMIN_G_PTR_H_
