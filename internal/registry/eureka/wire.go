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
	Version string            `xml:"versions__delta"`
	Hash    string            `xml:"apps__hashcode"`
	Apps    []wireApplication `xml:"application"`
}

type wireApplication struct {
	Name      string         `xml:"name"`
	Instances []wireInstance `xml:"instance"`
}

// ParseJSON reads an answer: {"applications": …}, or {"application": …} for one
// app. It reads it as a stream, an instance at a time, so that a long list takes
// little more memory than what is made of it. A list of one may be written as
// its element.
func ParseJSON(r io.Reader) (*Applications, error) {
	p := &jsonReader{d: json.NewDecoder(r), a: new(Applications)}
	if err := p.answer(); err != nil {
		return nil, fmt.Errorf("registry's answer: %w", err)
	}
	return p.a, nil
}

type jsonReader struct {
	d     *json.Decoder
	a     *Applications
	found bool
}

func (p *jsonReader) answer() error {
	err := p.list(func(opened bool) error {
		if !opened {
			return errors.New("an object is meant, not a list")
		}
		return p.fields(func(key string) error {
			switch key {
			case "applications":
				return p.list(p.applications)
			case "application":
				return p.list(p.application)
			}
			return p.skip()
		})
	})
	if err != nil {
		return err
	}
	if _, err := p.d.Token(); err != io.EOF {
		return errors.New("something comes behind it")
	}
	if !p.found {
		return errors.New("it holds neither applications nor an application")
	}
	return nil
}

// list reads a list by its elements, or the one element that stands in its
// place; one is told whether that element's object is open already. Null and an
// empty text stand for no element.
func (p *jsonReader) list(one func(opened bool) error) error {
	t, err := p.d.Token()
	if err != nil {
		return err
	}
	switch t {
	case json.Delim('{'):
		return one(true)
	case json.Delim('['):
		for p.d.More() {
			if err := one(false); err != nil {
				return err
			}
		}
		_, err := p.d.Token()
		return err
	case nil, "":
		return nil
	}
	return fmt.Errorf("%.40v: an object or a list is meant", t)
}

// fields reads an object that is open to its end.
func (p *jsonReader) fields(field func(key string) error) error {
	for p.d.More() {
		t, err := p.d.Token()
		if err != nil {
			return err
		}
		key, _ := t.(string)
		if err := field(key); err != nil {
			return fmt.Errorf("%.40s: %w", key, err)
		}
	}
	_, err := p.d.Token()
	return err
}

func (p *jsonReader) skip() error {
	var any json.RawMessage
	return p.d.Decode(&any)
}

// open reads the beginning of an object that is not open yet.
func (p *jsonReader) open(opened bool) error {
	if opened {
		return nil
	}
	t, err := p.d.Token()
	if err == nil && t != json.Delim('{') {
		err = fmt.Errorf("%.40v: an object is meant", t)
	}
	return err
}

func (p *jsonReader) applications(opened bool) error {
	if err := p.open(opened); err != nil {
		return err
	}
	p.found = true
	return p.fields(func(key string) error {
		var w word
		switch key {
		case "versions__delta":
			err := p.d.Decode(&w)
			p.a.Version = string(w)
			return err
		case "apps__hashcode":
			err := p.d.Decode(&w)
			p.a.Hash = string(w)
			return err
		case "application":
			return p.list(p.application)
		}
		return p.skip()
	})
}

func (p *jsonReader) application(opened bool) error {
	if err := p.open(opened); err != nil {
		return err
	}
	p.found = true
	var name word
	first := len(p.a.Instances)
	err := p.fields(func(key string) error {
		switch key {
		case "name":
			return p.d.Decode(&name)
		case "instance":
			return p.list(p.instance)
		}
		return p.skip()
	})
	for i := range p.a.Instances[first:] { // the name may come behind them
		if x := &p.a.Instances[first+i]; x.App == "" {
			x.App = string(name)
		}
	}
	return err
}

func (p *jsonReader) instance(opened bool) error {
	var w wireInstance
	if !opened {
		if err := p.d.Decode(&w); err != nil {
			return err
		}
		return p.a.add(&w, "")
	}
	known := map[string]any{
		"instanceId": &w.ID, "hostName": &w.Host, "app": &w.App, "ipAddr": &w.IP, "vipAddress": &w.VIP, "status": &w.Status,
		"overriddenStatus": &w.Override, "overriddenstatus": &w.Override2, "port": &w.Port, "securePort": &w.Secure,
		"actionType": &w.Action, "lastUpdatedTimestamp": &w.Updated, "lastDirtyTimestamp": &w.Dirty, "metadata": &w.Metadata, "leaseInfo": &w.Lease,
	}
	err := p.fields(func(key string) error {
		if into := known[key]; into != nil {
			return p.d.Decode(into)
		}
		return p.skip()
	})
	if err != nil {
		return err
	}
	return p.a.add(&w, "")
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
			w.Apps = []wireApplication{one}
		default:
			err = fmt.Errorf("element %.40q", start.Name.Local)
		}
		if err != nil {
			return nil, fmt.Errorf("registry's answer: %w", err)
		}
		return w.gather()
	}
}

// gather takes the instances of an XML answer over.
func (w *wireApplications) gather() (*Applications, error) {
	a := &Applications{Version: w.Version, Hash: w.Hash}
	for i := range w.Apps {
		for j := range w.Apps[i].Instances {
			if err := a.add(&w.Apps[i].Instances[j], w.Apps[i].Name); err != nil {
				return nil, fmt.Errorf("registry's answer: %w", err)
			}
		}
	}
	return a, nil
}

// add takes an instance over; one of which too little can be made is left out,
// and spoils no other.
func (a *Applications) add(w *wireInstance, app string) error {
	if len(a.Instances) == maxInstances {
		return fmt.Errorf("more than %d instances", maxInstances)
	}
	if one, ok := w.instance(app); ok {
		a.Instances = append(a.Instances, one)
	}
	return nil
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
