#!/usr/bin/env bash
# Checks the source: package dependencies, formatting and clang-tidy. Needs a
# build folder with compile_commands.json. Usage: util/checks.sh [FOLDER]
set -u
cd "$(dirname "$0")/.."
folder=${1:-build}
failed=0

# The packages whose headers each package may include.
declare -A allowed=(
  [core]="core"
  [ports]="core ports"
  [concurrency]="core concurrency"
  [engine]="core ports concurrency engine"
  [codec]="core ports codec"
  [http]="core ports concurrency codec http"
  [rpc]="core ports codec http rpc"
  [net]="core ports net"
  [policy]="core policy"
  [customer]="core customer"
  [membership]="core ports codec membership"
  [keyowner]="core ports codec membership keyowner"
  [entry]="core ports policy customer membership keyowner net entry"
  [platform]="core ports codec customer net platform"
  [program]="core ports program"
  [telemetry]="core ports codec telemetry"
  [monsoonstand]="core ports concurrency engine codec http rpc program telemetry net policy customer membership keyowner entry platform monsoonstand"
  [monsoonctl]="core ports concurrency engine codec http program monsoonctl"
)
for package in src/*/ platform/; do
  name=$(basename "$package")
  if [ -z "${allowed[$name]:-}" ]; then
    echo "package $name has no rule in util/checks.sh"
    failed=1
    continue
  fi
  pattern=$(tr ' ' '|' <<<"${allowed[$name]}")
  violations=$(grep -rnE '#include "[a-z]+/' "$package" | grep -vE "#include \"(absl|$pattern)/")
  if [ -n "$violations" ]; then
    echo "package $name includes what it must not depend on:"
    echo "$violations"
    failed=1
  fi
done
# The core must not do I/O or read a clock.
violations=$(grep -rnE '#include <(sys/|netinet|unistd|poll|fstream|iostream|thread|httplib|json)|::now\(' src/core)
if [ -n "$violations" ]; then
  echo "the core does I/O or reads a clock:"
  echo "$violations"
  failed=1
fi

# Names of the platform's wire protocol may be used only in its adapter.
wire_names='X-Monsoonstand-|log-(append|read|newest|join|leave|commit|owners|trim)|traffic_split|rule_set|path_prefix|warmup_remaining_ms|keyed\.(op|servers|status)|shard_key'
violations=$(grep -rnE "$wire_names" src)
if [ -n "$violations" ]; then
  echo "words of the platform's wire outside of platform/ and deploy/:"
  echo "$violations"
  failed=1
fi

mapfile -t files < <(find src platform tests -name '*.cpp' -o -name '*.h' | sort)
if ! clang-format --dry-run --Werror "${files[@]}" 2>&1 | head -n 20; then failed=1; fi
[ "${PIPESTATUS[0]}" = 0 ] || failed=1

# rpccaller.cpp is left out: the header of its library needs C++14, which clang
# rejects.
mapfile -t sources < <(find src platform -name '*.cpp' ! -name rpccaller.cpp | sort)
tidy=$(printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy -p "$folder" --quiet 2>/dev/null)
if grep -qE '(warning|error):' <<<"$tidy"; then
  grep -E '(warning|error):' <<<"$tidy" | sort -u | head -n 40
  failed=1
fi
[ "$failed" = 0 ] && echo "checks: ok"
exit $failed
