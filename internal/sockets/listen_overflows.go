package sockets

import (
	"os"
	"strconv"
	"strings"
)

// ListenOverflows returns how many connections the network stack has dropped because their listener's backlog was full, for all
// listeners of the machine: the kernel's counter TcpExt ListenOverflows (see proc_net_netstat), 0 if it cannot be read.
func ListenOverflows() uint64 {
	text, err := os.ReadFile("/proc/net/netstat")
	if err != nil {
		return 0
	}
	var names []string
	for line := range strings.SplitSeq(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] != "TcpExt:" {
			continue
		}
		if names == nil { // the line with the names precedes the line with the values
			names = fields
			continue
		}
		for i, name := range names {
			if name == "ListenOverflows" && i < len(fields) {
				count, _ := strconv.ParseUint(fields[i], 10, 64) // 0 if it is invalid
				return count
			}
		}
	}
	return 0
}
