package merge

import (
	"context"
	"time"

	"mothridge/membership"
)

// View is a snapshot of the merged view and of the states of its sources. The admin socket
// responds with its JSON encoding.
type View struct {
	Now     time.Duration            `json:"Now"`   // Unix time
	Ready   int                      `json:"Ready"` // number of endpoints that may receive requests
	Members []membership.Member      `json:"Members"`
	Sources []membership.SourceState `json:"Sources"`
}

// View returns the merged view with at most limit members, sorted by address, whose addresses
// sort after the argument after. It blocks until Run has processed the queued events before it,
// and returns the error of ctx if ctx is done first.
func (m *Merger) View(ctx context.Context, after string, limit int) (*View, error) {
	result := make(chan *View, 1)
	collect := func(now time.Duration) {
		result <- &View{
			Now:     now,
			Ready:   m.set.Ready(),
			Members: m.set.Members(after, limit),
			Sources: m.set.Sources(),
		}
	}
	select {
	case m.events <- collect:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case view := <-result:
		return view, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
