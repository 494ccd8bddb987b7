package operator

import (
	"fmt"
	"slices"
)

// Lending is the [quotas] table: the terms on which quotas lend unused shares to each other.
type Lending struct {
	LenderReserve  Duration `toml:"reclaim"`  // part of a lender's rate that is not lent, expressed as a time; empty: 1s
	RepaymentShare Share    `toml:"repay"`    // share of a debtor's rate that its lenders may take as repayment; 0: a tenth
	DebtLifetime   Duration `toml:"debt_age"` // how long a debt lasts; empty: 1m
	// SidecarShare is the share of every quota that this sidecar may use. 0: twice an even
	// split among all sidecars, because traffic is uneven.
	SidecarShare float64 `toml:"part"`
}

// Quota is a [[quota]] table: a node of the quota tree.
type Quota struct {
	Name   string `toml:"name"`
	Parent string `toml:"parent"` // name of the parent; empty: this is the root

	// The requests of the parent that belong to this node. All of the fields that are set must match.
	Tenant string `toml:"tenant"`
	Header string `toml:"header"` // name of a request header; requires Value
	Value  string `toml:"value"`  // value of Header
	Tag    string `toml:"tag"`    // tag set by a plug-in

	Weight         float64    `toml:"weight"`     // weight among borrowers; 0: 1
	Windows        []Duration `toml:"windows"`    // windows; every rate is limited over each window; empty: 1s and 10s
	Requests       float64    `toml:"requests"`   // per second
	PriorityWeight float64    `toml:"worth"`      // per second, each request counted by its class's priority weight
	Bytes          float64    `toml:"bytes"`      // bytes of bodies per second
	Concurrent     Count      `toml:"concurrent"` // requests in flight

	// Ceiling is the upper bound with loans, as a multiple of the quota's own rates. 0: no
	// bound; 1: no loans.
	Ceiling float64 `toml:"ceiling"`
}

// Bounds on the numbers of a quota, above any realistic setting. Messages repeat them.
const (
	maxRate    = 1e12 // bounds weights too
	maxCeiling = 1e6
)

func (f *File) checkQuotas(d *decoder) {
	if len(f.Quotas) == 0 && f.Lending != (Lending{}) {
		d.reportAt("quotas", "requires at least one [[quota]] table")
	}
	if share := f.Lending.SidecarShare; !(share >= 0 && share <= 1) {
		d.reportAt("quotas.part", "must be between 0 (the default) and 1, got %v", share)
	}
	names := d.newUniqueNames("quota")
	for i := range f.Quotas {
		q, path := &f.Quotas[i], fmt.Sprintf("quota[%d]", i)
		d.require(path, "name", q.Name == "", "must be a unique name")
		q.checkParent(path, i == 0, names, d)
		names.add(path, q.Name)
		q.checkMatch(path, i == 0, f.Tenants, d)
		q.checkNumbers(path, d)
	}
}

// checkParent reports a missing parent and a parent that is not defined before its child.
func (q *Quota) checkParent(path string, first bool, names *uniqueNames, d *decoder) {
	switch {
	case first && q.Parent != "":
		d.reportAt(path+".parent", "must be absent: the first quota is the root and has no parent")
	case !first && q.Parent == "":
		d.reportAt(path, "parent is missing: only the first quota is a root")
	case !first && !names.has(q.Parent):
		d.reportAt(path+".parent", "must be the name of an earlier quota, got %q", q.Parent)
	}
}

// checkMatch reports problems of the fields that select the requests of a quota.
func (q *Quota) checkMatch(path string, first bool, tenants []Tenant, d *decoder) {
	if (q.Header == "") != (q.Value == "") {
		d.reportAt(path, "header and value must be set together")
	}
	matchesNothing := q.Tenant == "" && q.Header == "" && q.Tag == ""
	if !first && matchesNothing {
		d.reportAt(path, "must set tenant, header with value, or tag: without them no request belongs to the quota")
	}
	known := slices.ContainsFunc(tenants, func(t Tenant) bool { return t.Name == q.Tenant })
	if q.Tenant != "" && len(tenants) > 0 && !known {
		d.reportAt(path+".tenant", "must be the name of a [[tenant]] table, got %q", q.Tenant)
	}
}

func (q *Quota) checkNumbers(path string, d *decoder) {
	for key, value := range map[string]float64{
		"requests": q.Requests, "worth": q.PriorityWeight, "bytes": q.Bytes, "weight": q.Weight,
	} {
		if !(value >= 0 && value < maxRate) {
			d.reportAt(path+"."+key, "must be at least 0 and below 1e12, got %v", value)
		}
	}
	if q.Ceiling != 0 && !(q.Ceiling >= 1 && q.Ceiling < maxCeiling) {
		d.reportAt(path+".ceiling", "must be at least 1 and below 1e6, or 0 for no bound, got %v", q.Ceiling)
	}
}
