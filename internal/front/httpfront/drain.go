package httpfront

import (
	"context"
	"time"

	"mothridge/internal/front/frontend"
)

// drain closes all idle connections. From now on, every other connection is closed when it
// becomes idle.
func (listener *limitedListener) drain() {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.draining = true
	for _, conn := range listener.idle {
		conn.closeIdle(frontend.LingerTimeout, closedDrain)
	}
}

// isDraining reports whether drain was called.
func (listener *limitedListener) isDraining() bool {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	return listener.draining
}

// awaitClosed blocks until every connection has been closed or ctx is done. It closes silent
// connections, because clients continue to send on every open connection during a planned restart
// and a request that arrives last could not be answered.
func (listener *limitedListener) awaitClosed(ctx context.Context) {
	ticker := time.NewTicker(frontend.ShutdownPollInterval)
	defer ticker.Stop()
	for listener.closeSilent() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// closeSilent starts to close the connections on which no bytes were received, and returns the
// number of open connections.
func (listener *limitedListener) closeSilent() (open int) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	now := time.Now()
	for _, conn := range listener.active {
		if conn.isReading() && conn.isSilent(now) {
			conn.closeIdle(frontend.LingerTimeout, closedSilent)
		}
	}
	return listener.open
}
