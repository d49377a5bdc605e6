#!/usr/bin/env bash
exec "$(dirname "$0")/../standin/run-case.sh" rejection-copy "$(cd "$(dirname "$0")" && pwd)"
