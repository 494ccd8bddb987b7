package operator

import (
	"fmt"
	"slices"
)

// Quotas are the terms on which unused shares are lent.
type Quotas struct {
	Reclaim Duration `toml:"reclaim"`  // of a lender's rate stays back, in time; none: 1s
	Repay   Share    `toml:"repay"`    // of a debtor's rate may be taken back; 0: a tenth
	DebtAge Duration `toml:"debt_age"` // how long a debt lasts; none: 1m
	// Part of every quota that this sidecar may use; 0: twice an even part of all
	// sidecars', as traffic is uneven.
	Part float64 `toml:"part"`
}

// Quota is a node of the tree of shares.
type Quota struct {
	Name   string `toml:"name"`
	Parent string `toml:"parent"` // empty: it is the root

	// Which requests of its parent's are its own; all that is set must fit.
	Tenant string `toml:"tenant"`
	Header string `toml:"header"`
	Value  string `toml:"value"`
	Tag    string `toml:"tag"` // that a plug-in gave

	Weight     float64    `toml:"weight"`     // among those that borrow; 0: 1
	Windows    []Duration `toml:"windows"`    // over each of which a second's rates count; none: 1s and 10s
	Requests   float64    `toml:"requests"`   // a second
	Worth      float64    `toml:"worth"`      // a second, of the classes' worth
	Bytes      float64    `toml:"bytes"`      // a second, of bodies
	Concurrent Count      `toml:"concurrent"` // at once
	Ceiling    float64    `toml:"ceiling"`    // the most with loans, as a multiple of its own rates; 0: no bound; 1: it borrows nothing
}

func (f *File) checkQuotas(d *decoder) {
	if len(f.Quotas) == 0 && f.Lending != (Quotas{}) {
		d.wrong("quotas", "there is no [[quota]] that it could be for")
	}
	if p := f.Lending.Part; !(p >= 0 && p <= 1) {
		d.wrong("quotas.part", "%v is out of range: a share from 0 (the default) to 1 is meant", p)
	}
	names := make(map[string]int)
	for i := range f.Quotas {
		q, at := &f.Quotas[i], fmt.Sprintf("quota[%d]", i)
		d.needs(at, "name", q.Name == "", "a name of its own is meant")
		if other, ok := names[q.Name]; ok && q.Name != "" {
			d.wrong(at+".name", "quota %d is named %q already: each needs its own name", other+1, q.Name)
		}
		_, known := names[q.Parent]
		switch {
		case i == 0 && q.Parent != "":
			d.wrong(at+".parent", "the first quota is the root and has no parent")
		case i > 0 && q.Parent == "":
			d.wrong(at, "a parent is needed: the first quota alone is a root")
		case i > 0 && !known:
			d.wrong(at+".parent", "there is no quota %q before it: parents come first", q.Parent)
		}
		names[q.Name] = i
		if (q.Header == "") != (q.Value == "") {
			d.wrong(at, "header and value go together")
		}
		if i > 0 && q.Tenant == "" && q.Header == "" && q.Tag == "" {
			d.wrong(at, "nothing says which requests are its own: tenant, header with value, or tag is meant")
		}
		if q.Tenant != "" && len(f.Tenants) > 0 && !slices.ContainsFunc(f.Tenants, func(t Tenant) bool { return t.Name == q.Tenant }) {
			d.wrong(at+".tenant", "there is no tenant %q", q.Tenant)
		}
		for key, v := range map[string]float64{"requests": q.Requests, "worth": q.Worth, "bytes": q.Bytes, "weight": q.Weight} {
			if !(v >= 0 && v < 1e12) {
				d.wrong(at+"."+key, "%v is out of range: a number of 0 or more is meant", v)
			}
		}
		if q.Ceiling != 0 && !(q.Ceiling >= 1 && q.Ceiling < 1e6) {
			d.wrong(at+".ceiling", "%v is out of range: a multiple of 1 or more is meant", q.Ceiling)
		}
	}
}
