#ifndef MONSOON_ENTRY_TARGETNODE_H
#define MONSOON_ENTRY_TARGETNODE_H

#include "core/hostshare.h"
#include "core/targetinfo.h"
#include "net/linkpool.h"
#include "policy/coldpace.h"
#include "policy/targetload.h"

#include <memory>

namespace monsoon {

/// One life of a target with all that this host knows of it and its open
/// connections.
class TargetNode {
public:
  TargetNode(TargetInfo Info, TimePoint Now, std::unique_ptr<LinkPool> Links);

  const TargetInfo &info() const { return m_Info; }
  /// Takes a newer entry of the same life.
  void update(const TargetInfo &Info, TimePoint Now);

  TargetLoad &load() { return m_Load; }
  const TargetLoad &load() const { return m_Load; }
  LinkPool &links() { return *m_Links; }

  /// True while it bears only few requests.
  bool isCold(TimePoint Now) const { return Now < m_ColdUntil; }
  void setWarmupLeft(TimePoint Now, Milliseconds Left);

  /// Its failure domain was taken back: until an entry that is newer than now
  /// tells, it may be cold without having said so.
  void doubtWarmth() { m_WarmthDoubted = true; }
  bool isWarmthDoubted() const { return m_WarmthDoubted; }

  ColdPace &pace() { return m_Pace; }
  const ColdPace &pace() const { return m_Pace; }

private:
  TargetInfo m_Info;
  TargetLoad m_Load;
  ColdPace m_Pace;
  TimePoint m_ColdUntil{};
  bool m_WarmthDoubted = false;
  std::unique_ptr<LinkPool> m_Links;
};

using TargetNodePtr = std::shared_ptr<TargetNode>;

} // namespace monsoon

#endif
