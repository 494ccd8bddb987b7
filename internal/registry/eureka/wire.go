// Package eureka reads a Eureka registry by its REST API (github.com/Netflix/eureka,
// wiki page "Eureka REST operations"), as JSON or XML, and registers the sidecar
// with it. What the news mean is decided in package membership.
package eureka

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Instance is an instance as the registry tells it.
type Instance struct {
	ID         string
	App        string
	Host       string
	IP         string
	VIP        string
	Port       int // 0: the plain port is off
	SecurePort int // 0: the secure port is off
	Status     string
	Override   string // empty or UNKNOWN: there is none
	Action     string // of a delta: ADDED, MODIFIED or DELETED
	Updated    int64  // Unix ms by the registry's clock
	Dirty      int64  // Unix ms by the instance's clock
	ServiceUp  int64  // Unix ms: when it came up first
	Metadata   map[string]string
}

// Applications is an answer to a fetch.
type Applications struct {
	Version   string // versions__delta
	Hash      string // apps__hashcode
	Instances []Instance
}

// Bounds of what a registry may send.
const (
	maxInstances = 100_000
	maxText      = 1 << 10 // of an id, a name and the like; metadata values too
	maxMetadata  = 64      // entries of an instance; further ones are dropped
)

// HashCode is what apps__hashcode should be for instances of these statuses:
// each status with its count, by name ("DOWN_1_UP_3_").
func HashCode(count map[string]int) string {
	var b strings.Builder
	for _, status := range slices.Sorted(maps.Keys(count)) {
		if n := count[status]; n > 0 {
			fmt.Fprintf(&b, "%s_%d_", status, n)
		}
	}
	return b.String()
}

// many is a list that the registry writes as its one element where it has one.
type many[T any] []T

func (m *many[T]) UnmarshalJSON(text []byte) error {
	text = bytes.TrimSpace(text)
	switch {
	case len(text) == 0 || string(text) == "null" || string(text) == `""`:
		*m = nil
		return nil
	case text[0] == '[':
		return json.Unmarshal(text, (*[]T)(m))
	}
	var one T
	if err := json.Unmarshal(text, &one); err != nil {
		return err
	}
	*m = many[T]{one}
	return nil
}

// word is a text that may also be written as a number or a boolean.
type word string

func (w *word) UnmarshalJSON(text []byte) error {
	if len(text) > 0 && text[0] == '"' {
		return json.Unmarshal(text, (*string)(w))
	}
	switch {
	case string(text) == "null":
		*w = ""
	case text[0] == '{' || text[0] == '[':
		return fmt.Errorf("%.40s: a text is meant", text)
	default:
		*w = word(text)
	}
	return nil
}

func (w word) number() int64 {
	n, err := strconv.ParseInt(strings.TrimSpace(string(w)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// port is {"$": 8080, "@enabled": "true"}, its number and flag written either
// way, or a number alone.
type port struct {
	Number  word   `json:"$" xml:",chardata"`
	Enabled string `json:"-" xml:"enabled,attr"`
}

func (p *port) UnmarshalJSON(text []byte) error {
	text = bytes.TrimSpace(text)
	if len(text) > 0 && text[0] != '{' {
		p.Enabled = "true"
		return json.Unmarshal(text, &p.Number)
	}
	var full struct {
		Number  word `json:"$"`
		Enabled word `json:"@enabled"`
	}
	if err := json.Unmarshal(text, &full); err != nil {
		return err
	}
	p.Number, p.Enabled = full.Number, string(full.Enabled)
	return nil
}

func (p port) number() int {
	n := p.Number.number()
	if p.Enabled == "false" || n < 1 || n > 65535 {
		return 0
	}
	return int(n)
}

// metadata is a map of texts; the registry marks its class with "@class", and
// writes values as numbers now and then.
type metadata map[string]string

func (m *metadata) UnmarshalJSON(text []byte) error {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(text, &all); err != nil {
		return nil // "" or null where there is none
	}
	*m = make(metadata, len(all))
	for _, key := range slices.Sorted(maps.Keys(all)) {
		var w word
		if strings.HasPrefix(key, "@") || json.Unmarshal(all[key], &w) != nil {
			continue
		}
		m.set(key, string(w))
	}
	return nil
}

func (m *metadata) set(key, value string) {
	if *m == nil {
		*m = make(metadata)
	}
	if len(*m) < maxMetadata && len(key) <= maxText && len(value) <= maxText {
		(*m)[key] = value
	}
}

// UnmarshalXML reads elements named by their keys.
func (m *metadata) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	for {
		t, err := d.Token()
		if err != nil {
			return err
		}
		switch t := t.(type) {
		case xml.StartElement:
			var value string
			if err := d.DecodeElement(&value, &t); err != nil {
				return err
			}
			m.set(t.Name.Local, value)
		case xml.EndElement:
			return nil
		}
	}
}

// wireInstance is an instance as it is written.
type wireInstance struct {
	ID        word     `json:"instanceId" xml:"instanceId"`
	Host      word     `json:"hostName" xml:"hostName"`
	App       word     `json:"app" xml:"app"`
	IP        word     `json:"ipAddr" xml:"ipAddr"`
	VIP       word     `json:"vipAddress" xml:"vipAddress"`
	Status    word     `json:"status" xml:"status"`
	Override  word     `json:"overriddenStatus" xml:"overriddenStatus"`
	Override2 word     `json:"overriddenstatus" xml:"overriddenstatus"`
	Port      port     `json:"port" xml:"port"`
	Secure    port     `json:"securePort" xml:"securePort"`
	Action    word     `json:"actionType" xml:"actionType"`
	Updated   word     `json:"lastUpdatedTimestamp" xml:"lastUpdatedTimestamp"`
	Dirty     word     `json:"lastDirtyTimestamp" xml:"lastDirtyTimestamp"`
	Metadata  metadata `json:"metadata" xml:"metadata"`
	Lease     struct {
		ServiceUp word `json:"serviceUpTimestamp" xml:"serviceUpTimestamp"`
	} `json:"leaseInfo" xml:"leaseInfo"`
}

type wireApplications struct {
	XMLName xml.Name              `json:"-" xml:"applications"`
	Version word                  `json:"versions__delta" xml:"versions__delta"`
	Hash    word                  `json:"apps__hashcode" xml:"apps__hashcode"`
	Apps    many[wireApplication] `json:"application" xml:"application"`
}

type wireApplication struct {
	Name      word               `json:"name" xml:"name"`
	Instances many[wireInstance] `json:"instance" xml:"instance"`
}

// ParseJSON reads an answer: {"applications": …}, or {"application": …} for one app.
func ParseJSON(r io.Reader) (*Applications, error) {
	var w struct {
		All *wireApplications `json:"applications"`
		One *wireApplication  `json:"application"`
	}
	d := json.NewDecoder(r)
	if err := d.Decode(&w); err != nil {
		return nil, fmt.Errorf("registry's answer: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, errors.New("registry's answer: something comes behind it")
	}
	switch {
	case w.All != nil:
		return w.All.gather()
	case w.One != nil:
		return (&wireApplications{Apps: many[wireApplication]{*w.One}}).gather()
	}
	return nil, errors.New("registry's answer: it holds neither applications nor an application")
}

// ParseXML reads the same as XML.
func ParseXML(r io.Reader) (*Applications, error) {
	d := xml.NewDecoder(r)
	for {
		t, err := d.Token()
		if err != nil {
			return nil, fmt.Errorf("registry's answer: %w", err)
		}
		start, ok := t.(xml.StartElement)
		if !ok {
			continue
		}
		w := new(wireApplications)
		switch start.Name.Local {
		case "applications":
			err = d.DecodeElement(w, &start)
		case "application":
			var one wireApplication
			err = d.DecodeElement(&one, &start)
			w.Apps = many[wireApplication]{one}
		default:
			err = fmt.Errorf("element %.40q", start.Name.Local)
		}
		if err != nil {
			return nil, fmt.Errorf("registry's answer: %w", err)
		}
		return w.gather()
	}
}

// gather takes the instances over; one of which too little can be made is left
// out, and spoils no other.
func (w *wireApplications) gather() (*Applications, error) {
	a := &Applications{Version: string(w.Version), Hash: string(w.Hash)}
	for i := range w.Apps {
		app := &w.Apps[i]
		if len(a.Instances)+len(app.Instances) > maxInstances {
			return nil, fmt.Errorf("registry's answer: more than %d instances", maxInstances)
		}
		for j := range app.Instances {
			if one, ok := app.Instances[j].instance(string(app.Name)); ok {
				a.Instances = append(a.Instances, one)
			}
		}
	}
	return a, nil
}

func (w *wireInstance) instance(app string) (Instance, bool) {
	i := Instance{
		ID: string(w.ID), App: string(w.App), Host: string(w.Host), IP: string(w.IP), VIP: string(w.VIP),
		Port: w.Port.number(), SecurePort: w.Secure.number(), Status: strings.ToUpper(string(w.Status)),
		Override: strings.ToUpper(string(w.Override)), Action: strings.ToUpper(string(w.Action)),
		Updated: w.Updated.number(), Dirty: w.Dirty.number(), ServiceUp: w.Lease.ServiceUp.number(), Metadata: w.Metadata,
	}
	if i.Override == "" {
		i.Override = strings.ToUpper(string(w.Override2))
	}
	if i.App == "" {
		i.App = app
	}
	if i.ID == "" { // older registries name it by its host
		i.ID = i.Host
	}
	for _, s := range []string{i.ID, i.App, i.Host, i.IP, i.VIP, i.Status} {
		if len(s) > maxText || strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f }) {
			return i, false
		}
	}
	return i, i.ID != ""
}
