#include "fireflythread/relay/io_relay_node.h"

#include <utility>

namespace fireflythread {

RelayNode::RelayNode(EntryId own_id,
                     std::uint64_t incarnation,
                     WorkerClient& local,
                     const Logger& logger,
                     MetricsRegistry& metrics)
    : self(std::move(own_id)),
      links(this->self, incarnation),
      relay(this->links, local),
      client(this->links, local, logger, metrics) {}

auto RelayNode::Open(const std::string& address) -> std::optional<std::string> {
  RelayLinks::Handlers handlers;
  handlers.hello = [this](const peer::Envelope& envelope) {
    this->relay.HandleHello(envelope);
  };
  handlers.orders = [this](const peer::Envelope& envelope) {
    this->relay.HandleOrders(envelope);
  };
  handlers.welcome = [this](const peer::Envelope& envelope) {
    this->client.HandleWelcome(envelope);
  };
  handlers.replies = [this](const peer::Envelope& envelope) {
    this->client.HandleReplies(envelope);
  };
  return this->links.Open(address, std::move(handlers));
}

auto RelayNode::SetEntries(const std::vector<RelayCandidate>& entries,
                           bool owns_pool) -> void {
  this->client.UseRelayPeers(owns_pool ? ChooseRelayPeers(this->self, entries)
                                       : std::vector<RelayCandidate>{});
}

}  // namespace fireflythread
