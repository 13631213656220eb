#include "fireflythread/daemon/gateway_task.h"

#include <chrono>
#include <utility>
#include <vector>

#include "fireflythread/base/overloaded.h"
#include "fireflythread/daemon/demand_report_codec.h"
#include "fireflythread/daemon/peer_message.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/gateway/demand_snapshot.h"
#include "fireflythread/gateway/loan_message.h"

namespace fireflythread {
namespace {

constexpr std::chrono::milliseconds kDrainPeriod{100};
constexpr std::chrono::milliseconds kDemandPeriod{1000};
constexpr std::chrono::milliseconds kLoanPeriod{100};

auto LoansFromProto(
    const google::protobuf::RepeatedPtrField<peer::SlotLoan>& loans)
    -> std::vector<SlotLoan> {
  std::vector<SlotLoan> result;
  result.reserve(static_cast<std::size_t>(loans.size()));
  for (const peer::SlotLoan& loan : loans) {
    result.push_back({VmId(loan.vm()), static_cast<int>(loan.slot())});
  }
  return result;
}

auto AddLoans(const std::vector<SlotLoan>& loans,
              google::protobuf::RepeatedPtrField<peer::SlotLoan>& out) -> void {
  for (const SlotLoan& loan : loans) {
    peer::SlotLoan& item = *out.Add();
    item.set_vm(loan.vm.value);
    item.set_slot(static_cast<std::uint32_t>(loan.slot));
  }
}

}  // namespace

GatewayTask::GatewayTask(std::unique_ptr<Gateway> request_gateway,
                         GatewayTaskOutputs task_outputs)
    : gateway(std::move(request_gateway)), outputs(std::move(task_outputs)) {}

auto GatewayTask::Start() -> void {
  this->drain_timer = std::make_unique<PeriodicTimer>(
      kDrainPeriod, [this] { this->AcknowledgeDrains(); });
  this->demand_timer = std::make_unique<PeriodicTimer>(
      kDemandPeriod, [this] { this->ReportDemand(); });
  this->loan_timer = std::make_unique<PeriodicTimer>(
      kLoanPeriod, [this] { this->SendLoanMessages(); });
}

auto GatewayTask::ApplyControlState(const ControlState& new_state) -> void {
  this->state = new_state;
  this->gateway->ApplyControlState(new_state.config, new_state.fleet);
}

auto GatewayTask::AcknowledgeDrains() -> void {
  const std::optional<EntryId> controller = this->outputs.controller();
  if (!controller || this->state.fleet == nullptr) {
    return;
  }
  peer::Envelope envelope;
  for (const auto& [id, record] : this->state.fleet->vms) {
    if (record.state == VmState::kDraining &&
        this->gateway->InFlight(id) == 0) {
      auto& item = *envelope.mutable_drain_ack()->add_items();
      item.set_vm(id.value);
      item.set_generation(record.generation);
    }
  }
  if (envelope.has_drain_ack()) {
    this->outputs.send(*controller, std::move(envelope));
  }
}

auto GatewayTask::ReportDemand() -> void {
  const std::optional<EntryId> controller = this->outputs.controller();
  if (controller) {
    this->outputs.send(*controller,
                       EncodeDemandReport(this->gateway->DemandByService()));
  }
}

auto GatewayTask::SendLoanMessages() -> void {
  for (const LoanMessage& message : this->gateway->LoanMessages()) {
    peer::Envelope envelope;
    std::visit(
        Overloaded{[&](const LoanRequest& request) {
                     auto& body = *envelope.mutable_slot_loan_request();
                     body.set_request(request.request);
                     body.set_pool(request.pool.value);
                     body.set_slots(static_cast<std::uint32_t>(request.slots));
                   },
                   [&](const SlotReturn& returned) {
                     AddLoans(returned.loans,
                              *envelope.mutable_slot_return()->mutable_loans());
                   }},
        message.body);
    this->outputs.send(message.to, std::move(envelope));
  }
}

auto GatewayTask::HandlePeer(const PeerMessage& message) -> void {
  const peer::Envelope& envelope = message.envelope;
  if (envelope.has_slot_loan_request()) {
    const auto& body = envelope.slot_loan_request();
    const LoanReply reply = this->gateway->HandleLoanRequest(
        message.sender, {body.request(), PoolName(body.pool()),
                         static_cast<int>(body.slots())});
    peer::Envelope answer;
    auto& out = *answer.mutable_slot_loan_reply();
    out.set_request(reply.request);
    out.set_duration_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(reply.duration)
            .count()));
    AddLoans(reply.loans, *out.mutable_loans());
    this->outputs.send(message.sender, std::move(answer));
  } else if (envelope.has_slot_loan_reply()) {
    const auto& body = envelope.slot_loan_reply();
    this->gateway->HandleLoanReply(
        message.sender, {body.request(), LoansFromProto(body.loans()),
                         std::chrono::milliseconds(body.duration_ms())});
  } else if (envelope.has_slot_return()) {
    this->gateway->HandleSlotReturn(
        message.sender, {LoansFromProto(envelope.slot_return().loans())});
  }
}

}  // namespace fireflythread
