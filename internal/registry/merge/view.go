package merge

import (
	"context"
	"time"

	"mothridge/membership"
)

// View is the merged view and the state of its sources at a time. Its JSON form is that of the
// admin socket.
type View struct {
	Now     time.Duration            `json:"Now"`   // Unix time
	Ready   int                      `json:"Ready"` // endpoints that may get requests
	Members []membership.Member      `json:"Members"`
	Sources []membership.SourceState `json:"Sources"`
}

// View returns the merged view with the members whose address follows after, at most limit of
// them. It waits for Run to get to it; its error is that of ctx.
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
