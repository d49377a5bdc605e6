#ifndef MONSOON_POLICY_TARGETNOTICES_H
#define MONSOON_POLICY_TARGETNOTICES_H

#include "core/timepoint.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>

namespace monsoon {

/// What targets have said of themselves in their answers, by target id. A
/// notice holds for one incarnation, also when the target's entry in the
/// membership is missing for a time or is an older one. Notices of a newer
/// incarnation replace those of an older one.
class TargetNotices {
public:
  /// Records that a target states that it is leaving. FromPeer: a peer has
  /// reported it. Returns true if that was not known.
  bool noteLeaving(TimePoint Now, const std::string &Id, int64_t Incarnation,
                   bool FromPeer);
  /// When this host learnt that the incarnation is leaving.
  std::optional<TimePoint> leavingSince(const std::string &Id,
                                        int64_t Incarnation) const;
  /// The leaving targets, with their incarnations, that peers need to hear of
  /// from this host: those which have told it within the last second.
  std::map<std::string, int64_t> leavingToReport(TimePoint Now) const;
  /// Records the requests per second that a target states it takes, or with
  /// none that it states no limit, in an answer to a request sent at SentAt. An
  /// answer without a limit to a request that was sent before the limit was
  /// last named says nothing. Returns true if the limit has changed.
  bool noteLimit(TimePoint Now, const std::string &Id, int64_t Incarnation,
                 std::optional<double> PerSecond, TimePoint SentAt);
  /// The limit that the incarnation last named, in requests per second.
  std::optional<double> limitOf(const std::string &Id,
                                int64_t Incarnation) const;
  /// Drops the notices of targets that are no longer known and were silent for
  /// five minutes.
  void forgetUnknown(TimePoint Now,
                     const std::function<bool(const std::string &Id)> &IsKnown);

private:
  struct Notice {
    /// The lowest value as long as there is no notice.
    int64_t m_Incarnation = std::numeric_limits<int64_t>::min();
    std::optional<TimePoint> m_LeavingSince;
    bool m_IsFromPeer = false;
    std::optional<double> m_Limit;
    TimePoint m_LimitNamedAt{};
    TimePoint m_LastNoticeAt{};
  };
  /// The notice of this incarnation, or null if a later one is known.
  Notice *prepare(TimePoint Now, const std::string &Id, int64_t Incarnation);
  const Notice *find(const std::string &Id, int64_t Incarnation) const;

  std::map<std::string, Notice> m_Notices;
};

} // namespace monsoon

#endif
