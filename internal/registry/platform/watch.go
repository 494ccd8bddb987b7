package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"mothridge/internal/core"
)

const listPath = "/registry/instances"

// watchSilence is how long a watch may be without data. While nothing changes discovery writes
// an empty line every 2 s.
const watchSilence = 3 * time.Second

var (
	// errGap is the error for a change that is missing or unreadable. Only the complete list
	// helps then.
	errGap = errors.New("gap in the list")
	// errSilent ends a call after watchSilence.
	errSilent = errors.New("silent")
	// errAddressChanged ends a watch at an address that is no longer discovery's.
	errAddressChanged = errors.New("discovery's address changed")
)

func listURL(addr string) string { return "http://" + addr + listPath }

func (d *Discovery) watchURL() string {
	return d.listURL + "?watch=1&from=" + strconv.FormatUint(d.version, 10)
}

// watchEnd is how a watch ended.
type watchEnd struct {
	responded bool   // discovery wrote something
	newAddr   string // where discovery's address changed; else empty
	err       error
}

// watchUntilAddressChange watches until the watch ends or the address changes. No update from
// the old address is published after its return.
func (d *Discovery) watchUntilAddressChange(ctx context.Context) watchEnd {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended, newAddr := make(chan struct{}), make(chan string, 1)
	go func() { // until the watch has ended
		defer close(newAddr)
		select {
		case addr := <-d.addressChanges:
			cancel(errAddressChanged)
			newAddr <- addr
		case <-ended:
		}
	}()
	responded, err := d.watch(ctx)
	close(ended)
	return watchEnd{responded: responded, newAddr: <-newAddr, err: err}
}

// watch opens one watch and publishes its updates until it ends, and reports whether discovery
// responded. Without a list that changes apply to it fetches the complete list first.
func (d *Discovery) watch(ctx context.Context) (responded bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream := newStream(func() { cancel(errSilent) })
	defer stream.stop()
	defer func() {
		if cause := context.Cause(ctx); err != nil && cause != nil {
			err = cause
		}
	}()
	if !d.hasBase {
		if err := d.fetchList(ctx, stream); err != nil {
			return false, err
		}
		responded = true
	}
	stream.stop()
	body, err := d.call(ctx, d.watchURL())
	if err != nil {
		return responded, err
	}
	defer body.Close()
	stream.start(body, func() {
		d.confirmedAt = time.Now()
		if !responded { // the first sign that the watch is open
			d.publish(core.EndpointUpdate{Version: d.version})
		}
		responded = true
	})
	for decoder := json.NewDecoder(stream); ; {
		listing, err := d.readMessage(stream, decoder)
		if err != nil {
			return responded, err
		}
		responded = true
		if err := d.apply(listing); err != nil {
			return responded, err
		}
	}
}

// readMessage reads the next message of a watch. Its error is io.EOF at the end of the watch.
func (d *Discovery) readMessage(stream *stream, decoder *json.Decoder) (Listing, error) {
	var listing Listing
	if err := decoder.Decode(&listing); err != nil {
		if errors.Is(err, io.EOF) || stream.err != nil {
			return Listing{}, err
		}
		d.hasBase = false
		return Listing{}, fmt.Errorf("%w: %w", errGap, err)
	}
	stream.endMessage(decoder)
	return listing, nil
}

// fetchList fetches the complete list and publishes it.
func (d *Discovery) fetchList(ctx context.Context, stream *stream) error {
	body, err := d.call(ctx, d.listURL)
	if err != nil {
		return err
	}
	defer body.Close()
	stream.start(body, nil)
	var listing Listing
	if err := json.NewDecoder(stream).Decode(&listing); err != nil {
		return fmt.Errorf("%w: %w", errGap, err)
	}
	return d.apply(listing)
}

// apply publishes a listing. Changes apply in order and to the list that they follow; those of
// the current version are known already and leave an update without endpoints.
func (d *Discovery) apply(listing Listing) error {
	if !listing.Complete {
		if !d.hasBase || listing.Version < d.version {
			d.hasBase = false
			return errGap
		}
		if listing.Version == d.version {
			listing.Endpoints = nil
		}
	}
	d.hasList, d.hasBase, d.version = true, true, listing.Version
	update := listing.EndpointUpdate()
	update.ConfirmedAt = d.confirmedAt
	d.confirmedAt = time.Now()
	d.publish(update)
	return nil
}
