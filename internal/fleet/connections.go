package fleet

import (
	"time"

	"mothridge/policy"
)

// connectionPool holds a sidecar's idle connections to a node's process.
type connectionPool struct {
	sim         *simulation
	node        *node
	incarnation int             // number of the node's process
	idleSince   []time.Duration // start of the idle time of each connection, the latest last
	sweepTimer  timer
}

// poolTo returns the pool of connections to a node's current process; nil if connections are not modelled.
func (sidecar *sidecar) poolTo(node *node) *connectionPool {
	if sidecar.pools == nil {
		return nil
	}
	pool := sidecar.pools[node.number]
	if pool == nil {
		pool = &connectionPool{sim: sidecar.simulation, node: node}
		sidecar.pools[node.number] = pool
	}
	if pool.incarnation != node.incarnation {
		pool.incarnation, pool.idleSince = node.incarnation, pool.idleSince[:0]
	}
	return pool
}

// connect sends an attempt to its node, on an idle or a new connection if connections are modelled.
func (sidecar *sidecar) connect(attempt *attempt) {
	pool := sidecar.poolTo(attempt.node)
	switch {
	case pool == nil:
		sidecar.scheduleEvent(sidecar.networkDelay(), attempt, attemptArrives)
	case pool.takeIdle():
		attempt.pool = pool
		sidecar.scheduleEvent(sidecar.networkDelay(), attempt, attemptArrives)
	default:
		sidecar.openConnection(attempt, pool)
	}
}

// openConnection sends an attempt on a new connection. The attempt fails if the node already has as many connections
// as it accepts.
func (sidecar *sidecar) openConnection(attempt *attempt, pool *connectionPool) {
	network, node := &sidecar.scenario.Network, attempt.node
	delay := sidecar.networkDelay()
	for range 2 * network.HandshakeRoundTrips {
		delay += sidecar.networkDelay()
	}
	if network.MaxConnections > 0 && node.connections >= network.MaxConnections {
		attempt.result = policy.ConnectionFailed
		sidecar.scheduleEvent(delay, attempt, attemptResponds)
		return
	}
	sidecar.result.Handshakes++
	node.connections++
	attempt.pool = pool
	sidecar.scheduleEvent(delay, attempt, attemptArrives)
	node.accept(new(job), network.HandshakeWork.Seconds()) // in addition to the request's own work
}

// takeIdle takes the most recently used idle connection out of the pool. It reports false if no connection is idle.
func (pool *connectionPool) takeIdle() bool {
	last := len(pool.idleSince) - 1
	if last < 0 {
		return false
	}
	pool.idleSince = pool.idleSince[:last]
	return true
}

// putIdle puts a connection that can be reused back into the pool.
func (pool *connectionPool) putIdle() {
	pool.idleSince = append(pool.idleSince, pool.sim.now)
	timeout := pool.sim.scenario.Network.IdleTimeout
	if timeout > 0 && !pool.sweepTimer.pending() {
		pool.sweepTimer = pool.sim.scheduleEvent(timeout, pool, onlyEvent)
	}
}

// handleEvent closes the connections whose idle timeout has expired.
func (pool *connectionPool) handleEvent(eventKind) {
	if pool.incarnation != pool.node.incarnation {
		return
	}
	now, timeout := pool.sim.now, pool.sim.scenario.Network.IdleTimeout
	expired := 0
	for expired < len(pool.idleSince) && pool.idleSince[expired]+timeout <= now {
		expired++
	}
	pool.node.connections -= expired
	pool.idleSince = append(pool.idleSince[:0], pool.idleSince[expired:]...)
	if len(pool.idleSince) > 0 {
		pool.sweepTimer = pool.sim.scheduleEvent(pool.idleSince[0]+timeout-now, pool, onlyEvent)
	}
}

// releaseConnection puts the attempt's connection back into its pool after a response, and closes it otherwise.
func (attempt *attempt) releaseConnection(result policy.AttemptResult) {
	if !attempt.connectionOpen() {
		return
	}
	if result == policy.Served || result == policy.Rejected {
		attempt.pool.putIdle()
	} else {
		attempt.node.connections--
	}
}

// connectionOpen reports whether the attempt has a connection to the node's current process.
func (attempt *attempt) connectionOpen() bool {
	current := attempt.node.incarnation
	return attempt.pool != nil && attempt.incarnation == current && attempt.pool.incarnation == current
}
