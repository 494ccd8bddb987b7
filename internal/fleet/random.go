package fleet

import (
	"hash/fnv"
	"math/rand/v2"
)

// streamStride spreads the stream numbers of a component over the seeds (2^64 divided by the golden ratio).
const streamStride = 0x9e3779b97f4a7c15

// randomStream returns the random number stream of a component of the model. Each component has its own stream, so that
// a change in what one component draws does not change the numbers of the others (common random numbers).
func randomStream(seed uint64, component string, number int) *rand.Rand {
	hash := fnv.New64a()
	hash.Write([]byte(component)) // Write of a hash never returns an error
	return rand.New(rand.NewPCG(seed, hash.Sum64()+uint64(number)*streamStride))
}

// weightedIndex draws an index below n with a probability proportional to the weight of the index.
func weightedIndex(random *rand.Rand, n int, weight func(i int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	remaining := random.Float64() * total
	for i := range n {
		if remaining -= weight(i); remaining < 0 {
			return i
		}
	}
	return n - 1
}
