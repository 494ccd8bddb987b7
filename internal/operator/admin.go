package operator

// Admin is the [admin] table: the socket that the operators' commands connect to.
type Admin struct {
	Socket  string `toml:"socket"`  // path of a Unix socket; empty: no admin socket
	Metrics bool   `toml:"metrics"` // serve GET /metrics on the socket, in the Prometheus text format
}

// maxSocketPathBytes is the longest path that the address of a Unix socket can hold (unix(7)),
// without the terminating zero byte.
const maxSocketPathBytes = 107

func (a *Admin) check(d *decoder) {
	if len(a.Socket) > maxSocketPathBytes {
		d.reportAt("admin.socket", "must be a Unix socket path of at most %[2]d bytes, got %[1]d bytes",
			len(a.Socket), maxSocketPathBytes)
	}
	if a.Metrics && a.Socket == "" {
		d.reportAt("admin.metrics", "requires the key socket: metrics are served on the admin socket")
	}
}
