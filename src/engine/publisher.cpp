#include "engine/publisher.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace monsoon {

namespace {

/// An append is repeated after this time if its record was not read.
constexpr Milliseconds AppendRetry{500};
constexpr Milliseconds ReadInterval{50};
constexpr Milliseconds PublishTimeout{10'000};

Failure recordsExpired() {
  return Failure{ErrorKind::LogUnavailable,
                 "configuration records have expired and no snapshot is "
                 "available"};
}

} // namespace

Outcome<std::optional<Verdict>> Publisher::readToEnd(const std::string &Id) {
  std::optional<Verdict> Found;
  while (true) {
    auto Page = m_Stream.read(m_Replay.nextOffset());
    if (!Page)
      return Page.error();
    const auto Applied =
        m_Replay.take(Page.value().m_First, std::move(Page.value().m_Entries));
    for (const auto &Each : Applied) {
      const auto *Publish = std::get_if<PublishRecord>(&Each.m_Record.m_Body);
      // A repeated append of an accepted record gets the verdict Lost, since
      // the first copy has advanced the version; Accepted takes precedence.
      if (Publish && Publish->m_Id == Id && Found != Verdict::Accepted)
        Found = Each.m_Verdict;
    }
    if (m_Replay.nextOffset() >= Page.value().m_End)
      return Found;
  }
}

Outcome<ConfigState> Publisher::current() {
  const auto Read = readToEnd("");
  if (!Read)
    return Read.error();
  if (!m_Replay.isComplete())
    return recordsExpired();
  return m_Replay.state();
}

Outcome<ConfigVersion> Publisher::publish(const Publication &Wanted) {
  const auto Before = current();
  if (!Before)
    return Before.error();
  const ConfigVersion Base = Wanted.m_Base.value_or(Before.value().version());
  const Failure Lost{
      ErrorKind::VersionLost,
      absl::StrCat("version ", Base, " is not the current version any more")};
  if (Base != Before.value().version())
    return Lost;
  const ConfigRecord Record{PublishRecord{Wanted.m_Id, Base, Wanted.m_Author,
                                          Wanted.m_Note, Wanted.m_Tables}};
  const TimePoint Start = m_Time.now();
  std::optional<TimePoint> AppendedAt;
  while (m_Time.now() - Start < PublishTimeout) {
    if (!AppendedAt || m_Time.now() - *AppendedAt >= AppendRetry) {
      AppendedAt = m_Time.now();
      (void)m_Stream.append(Record);
    }
    const auto Seen = readToEnd(Wanted.m_Id);
    if (Seen && Seen.value() == Verdict::Accepted)
      return Base + 1;
    if (Seen && Seen.value() == Verdict::Rejected)
      return Lost;
    m_Time.sleepFor(ReadInterval);
  }
  return Failure{ErrorKind::LogUnavailable,
                 absl::StrCat("publication ", Wanted.m_Id,
                              " was not found on the log; it may still be "
                              "accepted, see \"monsoonctl history\"")};
}

} // namespace monsoon
