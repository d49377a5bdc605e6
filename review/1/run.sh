#!/usr/bin/env bash
exec "$(dirname "$0")/../standin/run-case.sh" pool-removal "$(cd "$(dirname "$0")" && pwd)"
