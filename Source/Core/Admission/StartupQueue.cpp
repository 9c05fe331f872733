#include "Core/Admission/StartupQueue.h"

#include <algorithm>

namespace rattancart {

StartupQueue::StartupQueue(StartupQueueOptions Options, TimePoint StartedAt)
    : Options_(Options), ClosesAt_(StartedAt + Options.MaxWait_) {}

bool StartupQueue::tryEnqueue(AdmissionTicket Ticket, std::uint64_t Bytes, Duration TimeBudget,
                              TimePoint Now) {
  const TimePoint Deadline = std::min(ClosesAt_, Now + TimeBudget / 2);
  if (Closed_ || Deadline <= Now || Waiting_.size() >= Options_.MaxRequests_ ||
      Bytes_ + Bytes > Options_.MaxBytes_)
    return false;
  Waiting_.push_back({Ticket, Bytes, Deadline});
  Bytes_ += Bytes;
  return true;
}

void StartupQueue::remove(AdmissionTicket Ticket) {
  const auto Found = std::find_if(Waiting_.begin(), Waiting_.end(),
                                  [&](const Entry &Waiting) { return Waiting.Ticket_ == Ticket; });
  if (Found == Waiting_.end())
    return;
  Bytes_ -= Found->Bytes_;
  Waiting_.erase(Found);
}

std::vector<AdmissionTicket> StartupQueue::takeExpired(TimePoint Now) {
  std::vector<AdmissionTicket> Expired;
  for (const Entry &Waiting : Waiting_)
    if (Now >= Waiting.Deadline_)
      Expired.push_back(Waiting.Ticket_);
  for (const AdmissionTicket Ticket : Expired)
    remove(Ticket);
  return Expired;
}

std::vector<AdmissionTicket> StartupQueue::close() {
  Closed_ = true;
  std::vector<AdmissionTicket> Released;
  for (const Entry &Waiting : Waiting_)
    Released.push_back(Waiting.Ticket_);
  Waiting_.clear();
  Bytes_ = 0;
  return Released;
}

} // namespace rattancart
