#include "entry/targetnode.h"

#include "core/keyspace.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

/// Live targets send at least two heartbeats in this time.
constexpr Milliseconds HeartbeatsExpected{2500};

} // namespace

TargetNode::TargetNode(TargetInfo Info, TimePoint Now,
                       std::unique_ptr<LinkPool> Links)
    : m_Info(std::move(Info)), m_IdHash(stableHash(m_Info.m_Id)),
      m_Load(m_Info.m_Slots), m_Links(std::move(Links)) {
  setWarmupLeft(Now, m_Info.m_WarmupLeft);
}

void TargetNode::update(const TargetInfo &Info, TimePoint Now) {
  if (Info.m_Sequence > m_Info.m_Sequence)
    m_WarmupUnknownSince.reset();
  m_Info = Info;
  setWarmupLeft(Now, Info.m_WarmupLeft);
}

void TargetNode::confirmWarmup(TimePoint KnownAt) {
  if (m_WarmupUnknownSince &&
      KnownAt - *m_WarmupUnknownSince >= HeartbeatsExpected)
    m_WarmupUnknownSince.reset();
}

void TargetNode::setWarmupLeft(TimePoint Now, Duration Left) {
  if (Left.count() > 0)
    m_ColdUntil = std::max(m_ColdUntil, Now + Left);
}

} // namespace monsoon
