package operator

import (
	"fmt"
	"slices"
)

// Lending is the [quotas] table: the terms on which unused shares are lent.
type Lending struct {
	LenderReserve  Duration `toml:"reclaim"`  // how much of a lender's rate is kept back, in time; empty: 1s
	RepaymentShare Share    `toml:"repay"`    // of a debtor's rate that its lender may take back; 0: a tenth
	DebtLifetime   Duration `toml:"debt_age"` // how long a debt lasts; empty: 1m
	// SidecarShare of every quota is what this sidecar may use; 0: twice an even share of
	// all sidecars', as traffic is uneven.
	SidecarShare float64 `toml:"part"`
}

// Quota is a [[quota]] table: a node of the tree of shares.
type Quota struct {
	Name   string `toml:"name"`
	Parent string `toml:"parent"` // empty: it is the root

	// Which requests of its parent's are its own; all that is set must match.
	Tenant string `toml:"tenant"`
	Header string `toml:"header"` // with Value
	Value  string `toml:"value"`
	Tag    string `toml:"tag"` // of a plug-in

	Weight         float64    `toml:"weight"`     // among borrowers; 0: 1
	Windows        []Duration `toml:"windows"`    // in each of which the rates count; none: 1s and 10s
	Requests       float64    `toml:"requests"`   // a second
	PriorityWeight float64    `toml:"worth"`      // a second, of the classes' priority weights
	Bytes          float64    `toml:"bytes"`      // a second, of bodies
	Concurrent     Count      `toml:"concurrent"` // in flight at once
	Ceiling        float64    `toml:"ceiling"`    // the most with loans, as a multiple of its own rates; 0: no bound; 1: it borrows nothing
}

// Bounds of a quota's figures: above what could be meant.
const (
	maxRate    = 1e12 // and of a weight
	maxCeiling = 1e6
)

func (f *File) checkQuotas(d *decoder) {
	if len(f.Quotas) == 0 && f.Lending != (Lending{}) {
		d.reportAt("quotas", "there is no [[quota]] that it could be for")
	}
	if share := f.Lending.SidecarShare; !(share >= 0 && share <= 1) {
		d.reportAt("quotas.part", "%v is out of range: a share from 0 (the default) to 1 is meant", share)
	}
	names := d.newNames("quota")
	for i := range f.Quotas {
		q, path := &f.Quotas[i], fmt.Sprintf("quota[%d]", i)
		d.require(path, "name", q.Name == "", "a name of its own is meant")
		q.checkParent(path, i == 0, names, d)
		names.add(path, q.Name)
		q.checkMatch(path, i == 0, f.Tenants, d)
		q.checkFigures(path, d)
	}
}

// checkParent reports a parent that does not stand before its child.
func (q *Quota) checkParent(path string, first bool, names *names, d *decoder) {
	switch {
	case first && q.Parent != "":
		d.reportAt(path+".parent", "the first quota is the root and has no parent")
	case !first && q.Parent == "":
		d.reportAt(path, "a parent is needed: the first quota alone is a root")
	case !first && !names.has(q.Parent):
		d.reportAt(path+".parent", "there is no quota %q before it: parents come first", q.Parent)
	}
}

// checkMatch reports what is wrong with the choice of its requests.
func (q *Quota) checkMatch(path string, first bool, tenants []Tenant, d *decoder) {
	if (q.Header == "") != (q.Value == "") {
		d.reportAt(path, "header and value go together")
	}
	matchesNothing := q.Tenant == "" && q.Header == "" && q.Tag == ""
	if !first && matchesNothing {
		d.reportAt(path, "nothing says which requests are its own: tenant, header with value, or tag is meant")
	}
	known := slices.ContainsFunc(tenants, func(t Tenant) bool { return t.Name == q.Tenant })
	if q.Tenant != "" && len(tenants) > 0 && !known {
		d.reportAt(path+".tenant", "there is no tenant %q", q.Tenant)
	}
}

func (q *Quota) checkFigures(path string, d *decoder) {
	for key, value := range map[string]float64{
		"requests": q.Requests, "worth": q.PriorityWeight, "bytes": q.Bytes, "weight": q.Weight,
	} {
		if !(value >= 0 && value < maxRate) {
			d.reportAt(path+"."+key, "%v is out of range: a number of 0 or more is meant", value)
		}
	}
	if q.Ceiling != 0 && !(q.Ceiling >= 1 && q.Ceiling < maxCeiling) {
		d.reportAt(path+".ceiling", "%v is out of range: a multiple of 1 or more is meant", q.Ceiling)
	}
}
