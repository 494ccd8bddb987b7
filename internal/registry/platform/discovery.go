// Package platform follows the platform's discovery, an HTTP service with the list of endpoints
// and a watch of its changes.
package platform

import (
	"context"
	"log/slog"
	"time"

	"mothridge/internal/core"
	"mothridge/resolver"
)

// The delay before the next watch after one that failed. It starts at the minimum and doubles
// up to the maximum, which bounds how late the return of discovery is noticed.
const (
	minReopenDelay = 100 * time.Millisecond
	maxReopenDelay = 250 * time.Millisecond
)

// Discovery follows the list of endpoints at discovery's address.
//
// Its owner starts Run in a goroutine and ends it by Run's context; Run returns after all that it
// started. Run's goroutine alone uses the fields but addressChanges.
type Discovery struct {
	listURL  string
	publish  func(core.EndpointUpdate)
	schedule *resolver.Schedule // of the calls; its clock starts at startedAt

	startedAt      time.Time
	addressChanges chan string // the next address; of several the last one

	// Set where the decision module requests each watch; else nil.
	watchRequests <-chan struct{}
	watchFailed   func()

	hasList     bool      // there is a list, which may be out of date
	hasBase     bool      // that list is discovery's at version, so its changes apply to it
	version     uint64    // of the list
	confirmedAt time.Time // when the list was last known to be up to date
}

// New returns a Discovery at an address, with the list that the sidecar has already; nil: it has
// none. Run calls publish with each update, in order.
func New(addr string, known *Listing, publish func(core.EndpointUpdate)) *Discovery {
	d := &Discovery{
		listURL:        listURL(addr),
		publish:        publish,
		schedule:       resolver.New(resolver.ForPushedLists(), 0), // without jitter, so any seed will do
		startedAt:      time.Now(),
		addressChanges: make(chan string, 1),
	}
	if known != nil {
		d.hasList, d.hasBase, d.version = true, true, known.Version
	}
	return d
}

// WatchOnRequest makes Run wait for one of the requests before each watch, for deployments in
// which a call has a cost. Run calls failed when a call failed or the watch has ended. The seed
// is that of the jitter between the calls of several sidecars. It must be called before Run.
func (d *Discovery) WatchOnRequest(requests <-chan struct{}, failed func(), seed uint64) {
	d.watchRequests, d.watchFailed = requests, failed
	d.schedule = resolver.New(resolver.ForPolledLists(), seed)
}

// SetAddress makes Run continue at another address at once. It does not block, and must not be
// called concurrently with itself.
func (d *Discovery) SetAddress(addr string) {
	select {
	case <-d.addressChanges: // superseded
	default:
	}
	d.addressChanges <- addr
}

// changeAddress continues at another address. The versions there may be unrelated to those at
// the previous one, so the next list has to be complete.
func (d *Discovery) changeAddress(addr string) {
	slog.Info("discovery: moved", "to", addr)
	d.listURL, d.hasBase = listURL(addr), false
}

// retryState is the state between watches that fail in a row.
type retryState struct {
	delay  time.Duration // before the next watch
	logged bool          // that watches fail
}

func newRetryState() retryState { return retryState{delay: minReopenDelay} }

// Run watches the list until ctx ends. When a watch ends or falls silent, Run opens the next one
// after a delay, or on request where WatchOnRequest was called. The previous list stays in force
// until there is another.
func (d *Discovery) Run(ctx context.Context) {
	retry, openNow := newRetryState(), false
	for ctx.Err() == nil {
		if !openNow && !d.waitForWatchRequest(ctx) {
			return
		}
		end := d.watchUntilAddressChange(ctx)
		if ctx.Err() != nil {
			return
		}
		openNow = end.newAddr != ""
		if openNow {
			d.changeAddress(end.newAddr)
			retry = newRetryState()
			continue
		}
		if end.responded {
			retry = newRetryState()
		}
		if !retry.logged {
			slog.Warn("discovery: watch ended", "err", end.err, "version", d.version)
			retry.logged = true
		}
		if d.watchRequests != nil {
			d.reportFailure()
		} else {
			d.waitToReopen(ctx, &retry)
		}
	}
}

// waitForWatchRequest returns true when the next watch is requested or the address changes, at
// once where watches are not requested; false at the end of ctx.
func (d *Discovery) waitForWatchRequest(ctx context.Context) bool {
	if d.watchRequests == nil {
		return true
	}
	select {
	case <-d.watchRequests:
		return true
	case addr := <-d.addressChanges:
		d.changeAddress(addr)
		return true
	case <-ctx.Done():
		return false
	}
}

// reportFailure reports the end of a watch to who requests them. A request that still waits was
// meant for that watch and is dropped.
func (d *Discovery) reportFailure() {
	select {
	case <-d.watchRequests:
	default:
	}
	d.watchFailed()
}

// waitToReopen returns after the delay before the next watch, at a change of address or at the
// end of ctx.
func (d *Discovery) waitToReopen(ctx context.Context, retry *retryState) {
	timer := time.NewTimer(retry.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		retry.delay = min(2*retry.delay, maxReopenDelay)
	case addr := <-d.addressChanges:
		d.changeAddress(addr)
		*retry = newRetryState()
	case <-ctx.Done():
	}
}
