#!/usr/bin/env bash
source "$(dirname "$0")/../common-2/run.sh" 10
