# Sourced by the cases: play CASE FOLDER plays one, keeps its record and ends whatever is left of it.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
play() {
    local case=$1 here=$2 root folder status
    root=$(cd "$here/../.." && pwd)
    local standin="$root/target/review/standin"
    [[ -x "$standin" && -x "$root/target/release/ryerouter-platform" ]] || return 2
    folder=$(mktemp -d) || return 2
    TROUBLE="${TROUBLE:-1}" timeout 110 "$standin" "$case" "$root" "$folder"
    status=$?
    if [[ $status -gt 2 ]]; then
        # It was ended itself, so its processes may still run.
        xargs -r kill -KILL <"$folder/processes" 2>/dev/null
        status=2
    fi
    cp "$folder/record.txt" "$here/record.txt" 2>/dev/null
    [[ -z "${KEEP_LOGS:-}" ]] || cp -r "$folder" "$KEEP_LOGS"
    rm -rf "$folder"
    return $status
}
