#!/usr/bin/env bash
# Mutation test of the ownership protocol: disables one safety mechanism at a
# time in a scratch copy and reports whether the random schedules detect it.
# Exits with 1 if a mutation does not apply, does not build or is not detected.
# Usage: util/mutate.sh [SCHEDULES]
set -u
cd "$(dirname "$0")/.." || exit 1
schedules=${1:-150}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r CMakeLists.txt src tests "$scratch"
cmake -G Ninja -DMONSOON_WERROR=OFF -S "$scratch" -B "$scratch/build" >"$scratch/cmake.log" || exit 1

# name | file | sed expression
mutations=$(cat <<'M'
fence check at the server|tests/standin/grantholder.cpp|s/It->second == Fence \&\& Now < m_LeaseEnd/true/
order of terms at the server|tests/standin/grantholder.cpp|s/Reply.m_Accepted = .*/Reply.m_Accepted = true;/
wait for the lease to lapse|src/core/decider.cpp|s/return Server.m_IsSuspect \&\& Now >= Server.m_LeaseEnd/return Server.m_IsSuspect/
wait for the release|src/core/decider.cpp|s/if (!Confirmed \&\& !isLost(Server, Now))/if (false)/
version check of the log|src/core/ownershiplog.cpp|s/if (Record.m_Base != m_Version || Record.m_Term != m_Term)/if (false)/
majority of promises|src/core/groupnode.cpp|s/return Ends\[Needed - 1\];/return Ends[0];/
promise counted from the request|src/core/groupnode.cpp|s/SentAt + m_Timing.m_Promise)/Now + 3 * m_Timing.m_Promise)/
one promise at a time|src/core/electorpromise.cpp|s/return m_PromisedTo == Candidate || Now >= m_PromisedUntil;/return true;/
lease capped by the right to act|src/core/decider.cpp|s/std::min(Left, m_Timing.m_Lease)/m_Timing.m_Lease * 3/
clearance by the entry hosts|src/core/decider.cpp|s/if (!isClearOfHosts(Range, Status, Now))/if (false)/
lease from the echoed stamp|tests/standin/grantholder.cpp|s/fromStamp(Order.m_Echo) + Order.m_Lifetime/Now + Order.m_Lifetime/
right to route from the echoed stamp|src/core/routingview.cpp|s/fromStamp(Message.m_Echo)/fromStamp(Message.m_Echo) + std::chrono::seconds(3)/
unanswered requests count as running|src/core/routingview.cpp|s/if (!Settled)/if (false)/
M
)
missed=0
while IFS='|' read -r name file expression; do
  cp "$file" "$scratch/$file"
  sed -i "$expression" "$scratch/$file"
  if cmp -s "$file" "$scratch/$file"; then
    echo "NOT APPLIED  $name"
    missed=1
    continue
  fi
  if ! ninja -j3 -C "$scratch/build" ownershipschedules >"$scratch/build.log" 2>&1; then
    echo "NOT BUILT    $name"
    missed=1
  elif MONSOON_SCHEDULES=$schedules "$scratch/build/tests/core/ownershipschedules" >"$scratch/run.log" 2>&1; then
    echo "NOT NOTICED  $name"
    missed=1
  else
    echo "noticed      $name: $(grep -m1 'logged:' "$scratch/run.log" | cut -c1-110)"
  fi
  cp "$file" "$scratch/$file"
done <<<"$mutations"
exit $missed
