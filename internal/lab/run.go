package lab

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"mothridge/internal/fleet"
)

// Progress is how far a run of an experiment has come.
type Progress struct {
	Round         int
	Done, Planned int // runs of this round; what further rounds take depends on what they show
	Settled       int // cells that need no more
	Cells         int
	Gone, Left    time.Duration // of this round, by the runs so far
	Broken        int           // runs that broke a rule or were cut
}

// RunOptions say how to run an experiment.
type RunOptions struct {
	Out      string // the results file
	Workers  int
	Progress func(Progress) // may be nil; called one at a time
	Notice   func(string)   // may be nil
}

// job is a run of a cell from a seed.
type job struct {
	cell int
	seed uint64
}

// Run plays an experiment until every cell is known well enough or was played
// from all its seeds. What the results file has already is not played again;
// rows are added in an order that the experiment alone decides, so that the
// file is the same to the byte whatever ran beside or was interrupted. It stops
// early where ctx ends; what was played by then is kept.
func Run(ctx context.Context, e *Experiment, o RunOptions) (*Results, error) {
	s, err := openStore(o.Out, e)
	if err != nil {
		return nil, err
	}
	if s.cut && o.Notice != nil {
		o.Notice(o.Out + ": its last line was cut; that run is played again")
	}
	p := &player{Experiment: e, RunOptions: o, store: s, results: s.had}
	err = p.play(ctx)
	if e := s.close(); err == nil {
		err = e
	}
	return p.results, err
}

// player is a run of an experiment under way.
type player struct {
	*Experiment
	RunOptions
	store   *store
	results *Results
	broken  int
}

func (p *player) play(ctx context.Context) error {
	had := len(p.results.Rows) // rows that a run before this one left, to be gone through first
	taken := 0
	values := make([][]float64, len(p.Cells)) // of the measure that decides when to stop
	number, err := MeasureNumber(p.Stop.Measure)
	if err != nil {
		return err
	}
	brokenAt, _ := MeasureNumber("broken")
	cutAt, _ := MeasureNumber("cut")
	for round := 1; ; round++ {
		jobs := p.plan(values)
		if len(jobs) == 0 {
			return nil
		}
		took := func(j job, r Row) {
			values[j.cell] = append(values[j.cell], r.Values[number])
			if r.Values[brokenAt]+r.Values[cutAt] > 0 {
				p.broken++
			}
		}
		for len(jobs) > 0 && taken < had {
			r := p.results.Rows[taken]
			if !slices.Equal(r.Levels, p.Cells[jobs[0].cell].Levels) || r.Seed != jobs[0].seed {
				return fmt.Errorf("%s: row %d is %v from seed %d where %v from %d is due: seeds or stop were changed; name another file with --out",
					p.Out, taken+1, r.Levels, r.Seed, p.Cells[jobs[0].cell].Levels, jobs[0].seed)
			}
			took(jobs[0], r)
			jobs, taken = jobs[1:], taken+1
		}
		if err := p.round(ctx, round, jobs, values, took); err != nil {
			return err
		}
	}
}

// plan is what the next round plays: of each cell that is not settled the least
// number of seeds at first, and two more at a time.
func (p *player) plan(values [][]float64) []job {
	var jobs []job
	for i, v := range values {
		more := 2
		switch {
		case len(v) == 0:
			more = p.Seeds.Least
		case p.settled(v):
			continue
		}
		for k := range min(more, p.Seeds.Most-len(v)) {
			jobs = append(jobs, job{i, p.Seeds.First + uint64(len(v)+k)})
		}
	}
	return jobs
}

func (p *player) settled(v []float64) bool {
	return len(v) >= p.Seeds.Most || len(v) >= p.Seeds.Least && Estimate(v, p.Stop.Confidence).Half <= p.Stop.Within
}

// played is what a worker gives back.
type played struct {
	number int
	row    Row
	err    error
}

// round plays jobs on all workers and adds their rows in order.
func (p *player) round(ctx context.Context, round int, jobs []job, values [][]float64, took func(job, Row)) error {
	queue, results := make(chan int), make(chan played)
	inner, stop := context.WithCancel(ctx)
	var workers sync.WaitGroup
	for range min(max(1, p.Workers), max(1, len(jobs))) {
		workers.Go(func() {
			for n := range queue {
				row, err := p.one(jobs[n])
				results <- played{n, row, err}
			}
		})
	}
	go func() {
		defer close(queue)
		for n := range jobs {
			if inner.Err() != nil { // a select would go on half of the time
				return
			}
			select {
			case queue <- n:
			case <-inner.Done():
				return
			}
		}
	}()
	go func() {
		workers.Wait()
		close(results)
	}()
	began, waiting, next := time.Now(), make(map[int]Row), 0
	var failed error
	for r := range results {
		if r.err != nil && failed == nil {
			failed = r.err
			stop()
		}
		waiting[r.number] = r.row
		for failed == nil {
			row, ok := waiting[next]
			if !ok {
				break
			}
			delete(waiting, next)
			if failed = p.store.write(row); failed != nil {
				stop()
				break
			}
			p.results.Rows = append(p.results.Rows, row)
			took(jobs[next], row)
			next++
		}
		p.report(round, next, len(jobs), values, time.Since(began))
	}
	stop()
	if failed != nil {
		return failed
	}
	return ctx.Err()
}

func (p *player) one(j job) (Row, error) {
	c := &p.Cells[j.cell]
	s := c.Scenario
	s.Seed = j.seed
	r, err := fleet.Run(s)
	if err != nil {
		return Row{}, fmt.Errorf("%s from seed %d: %w", c.Label(), j.seed, err)
	}
	return Row{c.Levels, j.seed, Measure(r)}, nil
}

func (p *player) report(round, done, planned int, values [][]float64, gone time.Duration) {
	if p.Progress == nil {
		return
	}
	settled := 0
	for _, v := range values {
		if p.settled(v) {
			settled++
		}
	}
	left := time.Duration(0)
	if done > 0 {
		left = gone * time.Duration(planned-done) / time.Duration(done)
	}
	p.Progress(Progress{round, done, planned, settled, len(p.Cells), gone, left, p.broken})
}
