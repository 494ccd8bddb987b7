package operator

import "fmt"

// Static is a [[static]] table: a list of endpoints that does not change, as a source.
type Static struct {
	Name        string    `toml:"name"`
	Addresses   []Address `toml:"nodes"`
	Zone        string    `toml:"site"`
	MachineType string    `toml:"kind"`
}

func (s *Static) check(path string, d *decoder) {
	d.require(path, "nodes", len(s.Addresses) == 0, "a list of addresses is meant, such as [\"127.0.0.1:7081\"]")
	seen := make(map[Address]bool)
	for i, address := range s.Addresses {
		element := fmt.Sprintf("%s.nodes[%d]", path, i)
		switch {
		case address == "" && !d.reported(element):
			d.reportAt(element, "it is empty: %s is meant", address.meant())
		case address != "" && seen[address]:
			d.reportAt(element, "%s stands twice in this list", address)
		}
		seen[address] = true
	}
}
