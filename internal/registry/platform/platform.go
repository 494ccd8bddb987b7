// Package platform follows the platform's discovery, an HTTP service that gives
// the list of servers and a watch of its changes.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/settings"
	"mothridge/resolver"
)

// Listing is discovery's news of the upstreams: the whole list or what changed.
type Listing struct {
	Seq   uint64  `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

// entry is one upstream. A field of the wrong kind makes this entry unusable and no other.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  *int    `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS float64 `json:"born_ms"`
}

// UnmarshalJSON keeps a wrong entry from spoiling the list it stands in: it is
// left without a name, and such entries are passed over.
func (e *entry) UnmarshalJSON(text []byte) error {
	type plain entry
	var p plain
	if err := json.Unmarshal(text, &p); err != nil {
		*e = entry{}
		return nil
	}
	*e = entry(p)
	return nil
}

// EndpointUpdate is the listing in the core's terms.
func (l Listing) EndpointUpdate() core.EndpointUpdate {
	n := core.EndpointUpdate{Version: l.Seq, Complete: l.Whole, Endpoints: make([]core.Endpoint, 0, len(l.Hosts))}
	for _, e := range l.Hosts {
		i := core.Endpoint{
			Name: e.Host, Addr: e.Dial, Zone: e.Site, MachineType: e.Class, Cell: e.Block, Weight: e.Share,
			StartedAt: settings.Millis(e.BornMS),
		}
		switch e.Health {
		case "up":
			i.Health = core.Up
		case "removed":
			i.Health = core.Removed
		}
		n.Endpoints = append(n.Endpoints, i)
	}
	return n
}

const (
	listPath = "/registry/instances"
	// silence ends a watch: an empty line comes every 2 s while nothing changes.
	silence = 3 * time.Second
	// What is out of reach is tried again soon, but not at once.
	firstReopen = 100 * time.Millisecond
	lastReopen  = 250 * time.Millisecond
	maxListing  = 4 << 20
)

// MaxConnections is how many connections discovery holds at most.
const MaxConnections = 2

// errGap says that a change was missed or could not be read: only the whole list helps.
var errGap = errors.New("gap in the list")

// Discovery follows the list of upstreams.
type Discovery struct {
	base    string
	listed  bool   // some list is in force, which may be out of date
	held    bool   // the list in force is discovery's own: changes may build on it
	seq     uint64 // its version
	deliver func(core.EndpointUpdate)

	moves chan string // the address to go on with; holds the latest alone

	asks   <-chan struct{} // the module's calls, where it has to ask for the list; else nil
	failed func()          // tells it that its call failed or the watch has ended

	schedule *resolver.Schedule // of the calls
	began    time.Time          // where its time begins

	heardAt time.Time // the last sign of life: the list held was known to hold then
}

// New follows the discovery at an address, on from the list as last held, if
// any; deliver takes its news, in order. Follow starts it.
func New(addr string, known *Listing, deliver func(core.EndpointUpdate)) *Discovery {
	d := &Discovery{
		base:    listURL(addr),
		deliver: deliver,
		moves:   make(chan string, 1),
		began:   time.Now(),
		// Calls to an agent on the own machine need no spread.
		schedule: resolver.New(resolver.ForPushedLists(), 0),
	}
	if known != nil {
		d.listed, d.held, d.seq = true, true, known.Seq
	}
	return d
}

func listURL(addr string) string { return "http://" + addr + listPath }

// errMoved ends a watch at an address that is not discovery's any more.
var errMoved = errors.New("discovery has moved")

// WatchOnRequest makes Follow wait for a call of asks before each watch, for installations
// where asking has a cost; failed is told when a call failed or the watch has ended.
// Calls work through in turn there; seed spreads those of one sidecar against the others'.
func (d *Discovery) WatchOnRequest(asks <-chan struct{}, failed func(), seed uint64) {
	d.asks, d.failed, d.schedule = asks, failed, resolver.New(resolver.ForPolledLists(), seed)
}

// SetAddress makes Follow go on at another address, at once. It must not be called concurrently.
func (d *Discovery) SetAddress(addr string) {
	select {
	case <-d.moves: // not taken yet, and out of date
	default:
	}
	d.moves <- addr
}

// moved turns to another address. Its versions may have nothing to do with those
// that were counted so far: only its whole list is to be built on.
func (d *Discovery) moved(addr string) {
	slog.Info("discovery: moved", "to", addr)
	d.base, d.held = listURL(addr), false
}

// Run watches the list until ctx ends. When a watch ends or falls silent it
// opens the next one soon, or when the module asks, where asking is the module's.
// The list that was held stays in force until there is another.
func (d *Discovery) Run(ctx context.Context) {
	pause, down, atOnce := firstReopen, false, false
	for ctx.Err() == nil {
		if d.asks != nil && !atOnce {
			select {
			case <-d.asks:
			case addr := <-d.moves:
				d.moved(addr)
			case <-ctx.Done():
				return
			}
		}
		heard, next, err := d.watchHere(ctx)
		if ctx.Err() != nil {
			return
		}
		if atOnce = next != ""; atOnce {
			d.moved(next)
			pause, down = firstReopen, false
			continue
		}
		if heard {
			pause, down = firstReopen, false
		}
		if !down {
			slog.Warn("discovery: watch ended", "err", err, "seq", d.seq)
			down = true
		}
		if d.asks != nil {
			select {
			case <-d.asks: // a call meant for the watch that has ended
			default:
			}
			d.failed()
			continue
		}
		select {
		case <-time.After(pause):
			pause = min(2*pause, lastReopen)
		case addr := <-d.moves:
			d.moved(addr)
			pause, down = firstReopen, false
		case <-ctx.Done():
		}
	}
}

// watchHere watches until the watch ends or discovery moves to the address next.
// When it returns, nothing more comes from the old address.
func (d *Discovery) watchHere(ctx context.Context) (heard bool, next string, err error) {
	ctx, leave := context.WithCancelCause(ctx)
	defer leave(nil)
	over, turned := make(chan struct{}), make(chan string, 1)
	go func() {
		defer close(turned)
		select {
		case addr := <-d.moves:
			leave(errMoved)
			turned <- addr
		case <-over:
		}
	}()
	heard, err = d.watch(ctx)
	close(over)
	return heard, <-turned, err
}

// watch opens one watch and passes on what it brings until it ends; heard tells
// whether any line came. Where no list is held, it asks for the whole list first.
func (d *Discovery) watch(ctx context.Context) (heard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &stream{}
	s.timer = time.AfterFunc(silence, func() { cancel(errors.New("silent")) })
	s.timer.Stop() // until an answer has begun
	defer s.timer.Stop()
	defer func() {
		if err != nil && context.Cause(ctx) != nil {
			err = context.Cause(ctx)
		}
	}()
	if !d.held {
		if err := d.fetch(ctx, s); err != nil {
			return false, err
		}
		heard = true
	}
	s.timer.Stop()
	body, err := d.open(ctx, d.base+"?watch=1&from="+strconv.FormatUint(d.seq, 10))
	if err != nil {
		return heard, err
	}
	defer body.Close()
	s.follow(body)
	s.blank = func() {
		d.heardAt = time.Now()
		if !heard {
			d.deliver(core.EndpointUpdate{Version: d.seq}) // the watch is up and nothing has changed: the module's call went well
		}
		heard = true
	}
	for messages := json.NewDecoder(s); ; {
		var l Listing
		if err := messages.Decode(&l); errors.Is(err, io.EOF) {
			return heard, io.EOF
		} else if err != nil {
			if s.err == nil { // it came, and could not be read
				d.held, err = false, fmt.Errorf("%w: %w", errGap, err)
			}
			return heard, err
		}
		heard = true
		s.whole(messages)
		if err := d.take(l); err != nil {
			d.held = false
			return heard, err
		}
	}
}

// stream reads an answer of discovery and keeps the one clock for its silence.
// Messages are JSON values that may be indented and come in pieces; what stands
// between two of them is blank. Any byte is a sign of life, but where a message
// has begun only its next bytes are: blank lines go on coming behind one whose
// rest was lost.
type stream struct {
	timer *time.Timer // of the silence
	r     io.Reader
	blank func() // where a read brought white space alone, outside of a message
	read  int64  // bytes so far
	ended int64  // where the last whole message did
	begun bool   // something of a further one has come
	err   error  // of the answer itself
}

// follow starts to read an answer, which has begun.
func (s *stream) follow(body io.Reader) {
	*s = stream{timer: s.timer, r: body, blank: func() {}}
	s.timer.Reset(silence)
}

// whole notes that a message has been read to its end.
func (s *stream) whole(messages *json.Decoder) {
	rest, _ := io.ReadAll(messages.Buffered())
	s.ended, s.begun = messages.InputOffset(), len(bytes.TrimSpace(rest)) > 0
}

func (s *stream) Read(b []byte) (int, error) {
	n, err := s.r.Read(b)
	s.read += int64(n)
	switch text := len(bytes.TrimSpace(b[:n])) > 0; {
	case n == 0:
	case text:
		s.begun = true
		s.timer.Reset(silence)
	case !s.begun:
		s.timer.Reset(silence)
		s.blank()
	}
	if err == nil && s.read-s.ended > maxListing {
		err = fmt.Errorf("a message of over %d bytes", maxListing)
	}
	if err != nil && s.err == nil {
		s.err = err
	}
	return n, err
}

// fetch asks for the whole list.
func (d *Discovery) fetch(ctx context.Context, s *stream) error {
	body, err := d.open(ctx, d.base)
	if err != nil {
		return err
	}
	defer body.Close()
	s.follow(body)
	var l Listing
	if err := json.NewDecoder(s).Decode(&l); err != nil {
		return fmt.Errorf("%w: %w", errGap, err)
	}
	return d.take(l)
}

// take passes on one piece of news. Changes apply in order and only on top of
// the list they follow; what was had already is passed over.
func (d *Discovery) take(l Listing) error {
	switch {
	case l.Whole:
	case !d.held || l.Seq < d.seq:
		return errGap
	case l.Seq == d.seq:
		l.Hosts = nil
	}
	d.listed, d.held, d.seq = true, true, l.Seq
	news := l.EndpointUpdate()
	news.ConfirmedAt, d.heardAt = d.heardAt, time.Now()
	d.deliver(news)
	return nil
}
