package httpfront

import (
	"context"
	"time"

	"mothridge/internal/front/frontend"
)

// drain closes the idle connections, and from now on every other as it becomes idle.
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

// awaitClosed blocks until every connection has been closed, or ctx is done. It closes
// silent ones: clients go on sending on every open connection in a planned restart,
// and what comes last could not be answered.
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

// closeSilent starts to close the connections on which nothing came, and returns how
// many are open.
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
