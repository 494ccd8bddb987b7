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

// watchSilence is how long a watch may receive no data before it is closed. Discovery writes an
// empty line every 2 s while the list does not change.
const watchSilence = 3 * time.Second

var (
	// errGap is the error for a list or change that is missing or unreadable. The client must
	// then fetch the complete list.
	errGap = errors.New("endpoint list is incomplete or unreadable")
	// errSilent is the error of a call that received no data for watchSilence.
	errSilent = errors.New("silent")
	// errAddressChanged is the error of a watch that was ended because discovery's address changed.
	errAddressChanged = errors.New("discovery's address changed")
)

func listURL(addr string) string { return "http://" + addr + listPath }

func (d *Discovery) watchURL() string {
	return d.listURL + "?watch=1&from=" + strconv.FormatUint(d.version, 10)
}

// watchEnd describes how a watch ended.
type watchEnd struct {
	responded bool   // discovery sent data
	newAddr   string // discovery's new address; empty unless the address changed
	err       error
}

// watchUntilAddressChange runs one watch until the watch ends or discovery's address changes. No
// update from the old address is published after it has returned.
func (d *Discovery) watchUntilAddressChange(ctx context.Context) watchEnd {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended, newAddr := make(chan struct{}), make(chan string, 1)
	go func() { // runs until the address changes or the watch has ended
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

// watch opens one watch, publishes its updates until the watch ends, and reports whether discovery
// responded. If there is no list that changes can be applied to, watch fetches the complete list
// first.
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
		if !responded { // the first data shows that the watch is open
			d.publish(core.EndpointUpdate{Version: d.version})
		}
		responded = true
	})
	for decoder := json.NewDecoder(stream); ; {
		message, err := d.readMessage(stream, decoder)
		if err != nil {
			return responded, err
		}
		responded = true
		if err := d.apply(message); err != nil {
			return responded, err
		}
	}
}

// readMessage reads the next message of a watch. It returns io.EOF at the end of the watch.
func (d *Discovery) readMessage(stream *stream, decoder *json.Decoder) (ListMessage, error) {
	var message ListMessage
	if err := decoder.Decode(&message); err != nil {
		if errors.Is(err, io.EOF) || stream.err != nil {
			return ListMessage{}, err
		}
		d.hasBase = false
		return ListMessage{}, fmt.Errorf("%w: %w", errGap, err)
	}
	stream.endMessage(decoder)
	return message, nil
}

// fetchList fetches the complete list and publishes it.
func (d *Discovery) fetchList(ctx context.Context, stream *stream) error {
	body, err := d.call(ctx, d.listURL)
	if err != nil {
		return err
	}
	defer body.Close()
	stream.start(body, nil)
	var message ListMessage
	if err := json.NewDecoder(stream).Decode(&message); err != nil {
		return fmt.Errorf("%w: %w", errGap, err)
	}
	return d.apply(message)
}

// apply publishes a message. Changes must arrive in the order of their versions, and only apply
// to a list that discovery had; otherwise apply returns errGap, and the next watch fetches the
// complete list first. Changes of the current version are already known, so the published update
// contains no endpoints.
func (d *Discovery) apply(message ListMessage) error {
	if !message.Complete {
		if !d.hasBase || message.Version < d.version {
			d.hasBase = false
			return errGap
		}
		if message.Version == d.version {
			message.Endpoints = nil
		}
	}
	d.hasList, d.hasBase, d.version = true, true, message.Version
	update := message.EndpointUpdate()
	update.ConfirmedAt = d.confirmedAt
	d.confirmedAt = time.Now()
	d.publish(update)
	return nil
}
