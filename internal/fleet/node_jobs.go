package fleet

// job is a request's work at a node.
type job struct {
	finishAt float64  // attained service of the node at which the job is done
	order    uint64   // order of arrival; decides between jobs with equal finishAt
	owner    jobOwner // notified of the job's end; nil: no one is notified
	index    int      // position in the heap; -1: the job has left the node
}

// jobOwner is notified when its job has ended: ok is true if the job was completed, and false if it was lost with the
// node's process.
type jobOwner interface{ jobEnded(ok bool) }

func (job *job) finish(ok bool) {
	if job.owner != nil {
		job.owner.jobEnded(ok)
	}
}

// jobEndedFunc adapts a function to jobOwner.
type jobEndedFunc func(ok bool)

func (f jobEndedFunc) jobEnded(ok bool) { f(ok) }

// jobHeap orders jobs by completion; it implements heap.Interface of container/heap.
type jobHeap []*job

// Len implements heap.Interface.
func (jobs jobHeap) Len() int { return len(jobs) }

// Less implements heap.Interface: the job with the earlier completion comes first.
func (jobs jobHeap) Less(i, j int) bool {
	a, b := jobs[i], jobs[j]
	return a.finishAt < b.finishAt || a.finishAt == b.finishAt && a.order < b.order
}

// Swap implements heap.Interface.
func (jobs jobHeap) Swap(i, j int) {
	jobs[i], jobs[j] = jobs[j], jobs[i]
	jobs[i].index, jobs[j].index = i, j
}

// Push implements heap.Interface.
func (jobs *jobHeap) Push(x any) {
	added := x.(*job)
	added.index = len(*jobs)
	*jobs = append(*jobs, added)
}

// Pop implements heap.Interface.
func (jobs *jobHeap) Pop() any {
	last := len(*jobs) - 1
	removed := (*jobs)[last]
	(*jobs)[last] = nil // for the garbage collector
	*jobs = (*jobs)[:last]
	removed.index = -1
	return removed
}
