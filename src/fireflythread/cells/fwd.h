#ifndef FIREFLYTHREAD_CELLS_FWD_H_
#define FIREFLYTHREAD_CELLS_FWD_H_

namespace fireflythread {

struct CellAcceptance;
struct CellClaim;
struct CellRecord;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CELLS_FWD_H_
