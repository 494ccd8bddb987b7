package fleet

import (
	"math/rand/v2"
	"time"
)

// randomSelector selects a random ready endpoint (Random).
type randomSelector struct{ random *rand.Rand }

func (selector *randomSelector) selectTarget(_ time.Duration, ready []*target) *target {
	return ready[selector.random.IntN(len(ready))]
}
