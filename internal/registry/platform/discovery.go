// Package platform is the client of the platform's discovery, an HTTP service that serves the
// list of endpoints and a watch for changes of that list.
package platform

import (
	"context"
	"log/slog"
	"time"

	"mothridge/internal/core"
	"mothridge/resolver"
)

// The bounds of the delay between a watch that failed and the next one. The delay starts at the
// minimum and doubles up to the maximum, which limits how late the sidecar detects that discovery
// has recovered.
const (
	minReopenDelay = 100 * time.Millisecond
	maxReopenDelay = 250 * time.Millisecond
)

// Discovery keeps the list of endpoints up to date by watching the discovery service.
//
// The owner of a Discovery starts Run in a goroutine and stops it by canceling Run's context.
// Run returns after all goroutines that it started. Only Run's goroutine uses the fields, except
// addressChanges.
type Discovery struct {
	listURL  string
	publish  func(core.EndpointUpdate)
	schedule *resolver.Schedule // decides when calls start and end; its clock starts at startedAt

	startedAt      time.Time
	addressChanges chan string // capacity 1: holds the most recent address that Run has not applied yet

	// Both are nil unless the decision module requests each watch (see WatchOnRequest).
	watchRequests <-chan struct{}
	watchFailed   func()

	hasList     bool      // the sidecar has a list, which may be out of date
	hasBase     bool      // the list equals discovery's list at version, so later changes can be applied to it
	version     uint64    // of the list
	confirmedAt time.Time // when the list was last known to be up to date
}

// New returns a Discovery for the service at an address. known is the list that the sidecar
// already has, or nil if it has none. Run calls publish with each update, in order.
func New(addr string, known *Listing, publish func(core.EndpointUpdate)) *Discovery {
	d := &Discovery{
		listURL:        listURL(addr),
		publish:        publish,
		schedule:       resolver.New(resolver.ForPushedLists(), 0), // no jitter, so the seed is unused
		startedAt:      time.Now(),
		addressChanges: make(chan string, 1),
	}
	if known != nil {
		d.hasList, d.hasBase, d.version = true, true, known.Version
	}
	return d
}

// WatchOnRequest makes Run wait for a value from requests before each watch. It is meant for
// deployments in which calls are expensive. Run calls failed when a call has failed or the watch
// has ended. The seed determines the jitter that spreads the calls of several sidecars over
// time. WatchOnRequest must be called before Run.
func (d *Discovery) WatchOnRequest(requests <-chan struct{}, failed func(), seed uint64) {
	d.watchRequests, d.watchFailed = requests, failed
	d.schedule = resolver.New(resolver.ForPolledLists(), seed)
}

// SetAddress makes Run switch to another address immediately. It does not block. It must not be
// called concurrently with itself.
func (d *Discovery) SetAddress(addr string) {
	select {
	case <-d.addressChanges: // drop the address that addr replaces
	default:
	}
	d.addressChanges <- addr
}

// changeAddress switches to another address. Versions at the new address may be unrelated to
// those at the previous address, so the next list must be complete.
func (d *Discovery) changeAddress(addr string) {
	slog.Info("discovery: address changed", "to", addr)
	d.listURL, d.hasBase = listURL(addr), false
}

// retryState is the state of the retries while consecutive watches fail.
type retryState struct {
	delay  time.Duration // before the next watch
	logged bool          // the failure of watches has been logged
}

func newRetryState() retryState { return retryState{delay: minReopenDelay} }

// Run watches the list until ctx is done. When a watch ends or receives no data for
// watchSilence, Run opens the next watch after a delay, or on request if WatchOnRequest was
// called. The previous list stays in use until a new one is received.
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
			slog.Warn("discovery: watch ended; it will be reopened", "err", end.err, "version", d.version)
			retry.logged = true
		}
		if d.watchRequests != nil {
			d.reportFailure()
		} else {
			d.waitToReopen(ctx, &retry)
		}
	}
}

// waitForWatchRequest blocks until the next watch is requested or the address changes, and
// returns true. It returns true immediately if WatchOnRequest was not called, and false if ctx
// is done first.
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

// reportFailure calls watchFailed to report the end of a watch. It drops a pending watch
// request, because that request was meant for the watch that ended.
func (d *Discovery) reportFailure() {
	select {
	case <-d.watchRequests:
	default:
	}
	d.watchFailed()
}

// waitToReopen blocks until the delay before the next watch has passed, the address changes, or
// ctx is done.
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
