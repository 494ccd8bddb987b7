package operator

// Admin is the [admin] table: the socket that the operators' commands use.
type Admin struct {
	Socket  string `toml:"socket"`  // path of a Unix socket; empty: there is none
	Metrics bool   `toml:"metrics"` // GET /metrics there, in the Prometheus text format
}

// maxSocketPathBytes is what a Unix socket's address holds (unix(7)), less the final 0.
const maxSocketPathBytes = 107

func (a *Admin) check(d *decoder) {
	if len(a.Socket) > maxSocketPathBytes {
		d.reportAt("admin.socket", "a path of %d bytes: a Unix socket's has %d at most", len(a.Socket), maxSocketPathBytes)
	}
	if a.Metrics && a.Socket == "" {
		d.reportAt("admin.metrics", "they are shown on the admin socket: socket is missing beside it")
	}
}
