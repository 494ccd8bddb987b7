package operator

import "fmt"

// Tenant is a [[tenant]] table: a part of the clients with a bulkhead of its own. With
// none there is one that requests need not name.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the slots, against the other tenants'
	Quota float64 `toml:"quota"` // requests a second, of all sidecars together; 0: not known
}

func checkTenants(tenants []Tenant, d *decoder) {
	names := d.newNames("tenant")
	for i := range tenants {
		path := fmt.Sprintf("tenant[%d]", i)
		tenants[i].check(path, d)
		names.add(path, tenants[i].Name)
	}
}

func (t *Tenant) check(path string, d *decoder) {
	d.require(path, "name", t.Name == "", "the name that requests have for it is meant")
	if _, there := d.offsets[path+".share"]; !there {
		d.require(path, "share", true, "its part of the slots is meant, such as 0.5")
	} else if !(t.Share > 0) && !d.reported(path+".share") {
		d.reportAt(path+".share", "%v would leave it no slot: a number above 0 is meant", t.Share)
	}
	if t.Quota < 0 {
		d.reportAt(path+".quota", "%v is negative: requests a second are meant, such as 250", t.Quota)
	}
}
