# Sets JAVA to a Java 25 launcher: JAVA_HOME first, then the usual folders of installed JDKs.
# Sourced by the launch scripts and by .ci/run.
is_java_25() {
    [ -x "$1/bin/java" ] && "$1/bin/java" -version 2>&1 | grep -q 'version "25'
}

find_java_25() {
    local candidate
    for candidate in "${JAVA_HOME:-}" /usr/lib/jvm/* /opt/java/* /Library/Java/JavaVirtualMachines/*/Contents/Home; do
        if [ -n "$candidate" ] && is_java_25 "$candidate"; then
            JAVA_HOME=$candidate
            JAVA=$candidate/bin/java
            export JAVA_HOME
            return 0
        fi
    done
    echo "error: no JDK 25 found; set JAVA_HOME to a JDK 25" >&2
    return 1
}
