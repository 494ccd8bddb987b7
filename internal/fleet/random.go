package fleet

import (
	"hash/fnv"
	"math/rand/v2"
)

// streamStride spreads the numbers of a part's streams among the seeds (2^64 divided by the golden ratio).
const streamStride = 0x9e3779b97f4a7c15

// randomStream returns the random number stream of a part of the model. Parts have streams of their own, so that a
// change in what one draws leaves the others' numbers as they are (common random numbers).
func randomStream(seed uint64, part string, number int) *rand.Rand {
	hash := fnv.New64a()
	hash.Write([]byte(part)) // a hash returns no error
	return rand.New(rand.NewPCG(seed, hash.Sum64()+uint64(number)*streamStride))
}

// weightedIndex draws an index below n with a probability in proportion to its weight.
func weightedIndex(random *rand.Rand, n int, weight func(i int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	rest := random.Float64() * total
	for i := range n {
		if rest -= weight(i); rest < 0 {
			return i
		}
	}
	return n - 1
}
