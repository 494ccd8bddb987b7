package operator

import "fmt"

// Static is a [[static]] table: a static list of endpoints as a source of the endpoint list.
type Static struct {
	Name        string    `toml:"name"`
	Addresses   []Address `toml:"nodes"`
	Zone        string    `toml:"site"`
	MachineType string    `toml:"kind"`
}

func (s *Static) check(path string, d *decoder) {
	d.require(path, "nodes", len(s.Addresses) == 0, "must be a list of addresses, such as [\"127.0.0.1:7081\"]")
	seen := make(map[Address]bool)
	for i, address := range s.Addresses {
		elementPath := fmt.Sprintf("%s.nodes[%d]", path, i)
		switch {
		case address == "" && !d.reported(elementPath):
			d.reportAt(elementPath, "value is empty: must be %s", address.expected())
		case address != "" && seen[address]:
			d.reportAt(elementPath, "must be unique: %s is already in this list", address)
		}
		seen[address] = true
	}
}
