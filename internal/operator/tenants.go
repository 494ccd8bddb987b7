package operator

import "fmt"

// Tenant is a [[tenant]] table: a group of clients with a bulkhead of its own. A file without
// tenants has one tenant, which requests need not name.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // share of the slots, relative to the other tenants' shares
	Quota float64 `toml:"quota"` // requests per second through all sidecars together; 0: unknown
}

func checkTenants(tenants []Tenant, d *decoder) {
	names := d.newUniqueNames("tenant")
	for i := range tenants {
		path := fmt.Sprintf("tenant[%d]", i)
		tenants[i].check(path, d)
		names.add(path, tenants[i].Name)
	}
}

func (t *Tenant) check(path string, d *decoder) {
	d.require(path, "name", t.Name == "", "must be the name by which requests refer to the tenant")
	if _, present := d.offsets[path+".share"]; !present {
		d.require(path, "share", true, "must be the tenant's share of the slots, such as 0.5")
	} else if !(t.Share > 0) && !d.reported(path+".share") {
		d.reportAt(path+".share", "must be above 0, got %v: the tenant would have no slots", t.Share)
	}
	if t.Quota < 0 {
		d.reportAt(path+".quota", "must be a number of requests per second, such as 250, or 0 if unknown, got %v", t.Quota)
	}
}
