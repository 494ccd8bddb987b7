package lab

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"mothridge/internal/fleet"
)

// Progress reports how much of an experiment has been run.
type Progress struct {
	Round              int
	Done, Planned      int // runs of this round; their results decide the number of further runs
	Finished           int // cells that need no more runs
	Cells              int
	Elapsed, Remaining time.Duration // of this round; Remaining is estimated from the runs so far
	RunsWithFindings   int           // runs that violated a rule or were truncated
}

// RunOptions specify how to run an experiment.
type RunOptions struct {
	ResultsPath string         // path of the results file
	Workers     int            // number of concurrent runs
	Progress    func(Progress) // called after each run, never concurrently; may be nil
	Notice      func(string)   // called with a message about a truncated results file; may be nil
}

// job is one run of a cell, with a seed.
type job struct {
	cell int // index in Experiment.Cells
	seed uint64
}

// Run runs an experiment until every cell has a precise enough result or has used all its seeds. Runs that the results
// file already contains are not repeated. Rows are written in an order that depends only on the experiment, so that the
// file is identical to the byte regardless of concurrency and interruptions. If ctx ends, Run returns early and the
// results file keeps the rows written until then. Run returns an error if the results file is in use, was changed or
// belongs to another experiment, or if a run fails, for example because its scenario is invalid.
func Run(ctx context.Context, e *Experiment, o RunOptions) (*Results, error) {
	s, err := openStore(o.ResultsPath, e)
	if err != nil {
		return nil, err
	}
	if s.truncated && o.Notice != nil {
		o.Notice(o.ResultsPath + ": the last line was truncated; its run is repeated")
	}
	r := &runner{Experiment: e, RunOptions: o, store: s, results: s.existing}
	err = r.run(ctx)
	if closeErr := s.close(); err == nil {
		err = closeErr
	}
	return r.results, err
}

// runner runs one experiment.
type runner struct {
	*Experiment
	RunOptions
	store            *store
	results          *Results
	runsWithFindings int
}

// run runs rounds of jobs until all cells are finished. Rows of an earlier, interrupted run must match the jobs of this
// one; they take the place of the jobs' runs.
func (r *runner) run(ctx context.Context) error {
	existing := len(r.results.Rows) // rows of an earlier, interrupted run, which are used before any new run
	used := 0
	values := make([][]float64, len(r.Cells)) // by cell, of the measure that decides when to stop
	stopIndex, err := MeasureIndex(r.Stop.Measure)
	if err != nil {
		return err
	}
	brokenIndex, _ := MeasureIndex("broken")
	cutIndex, _ := MeasureIndex("cut")
	for round := 1; ; round++ {
		jobs := r.planRound(values)
		if len(jobs) == 0 {
			return nil
		}
		countRow := func(j job, row Row) {
			values[j.cell] = append(values[j.cell], row.Values[stopIndex])
			if row.Values[brokenIndex]+row.Values[cutIndex] > 0 {
				r.runsWithFindings++
			}
		}
		for len(jobs) > 0 && used < existing {
			row := r.results.Rows[used]
			if !slices.Equal(row.Levels, r.Cells[jobs[0].cell].Levels) || row.Seed != jobs[0].seed {
				return fmt.Errorf("%s: row %d has levels %v and seed %d, want %v and %d: seeds or stop were changed; use another file with --out",
					r.ResultsPath, used+1, row.Levels, row.Seed, r.Cells[jobs[0].cell].Levels, jobs[0].seed)
			}
			countRow(jobs[0], row)
			jobs, used = jobs[1:], used+1
		}
		if err := r.runRound(ctx, round, jobs, values, countRow); err != nil {
			return err
		}
	}
}

// planRound returns the jobs of the next round, none if all cells are finished. The first round runs each cell with the
// minimum number of seeds. Later rounds run each unfinished cell with two more seeds.
func (r *runner) planRound(values [][]float64) []job {
	var jobs []job
	for i, v := range values {
		more := 2
		switch {
		case len(v) == 0:
			more = r.Seeds.Min
		case r.isFinished(v):
			continue
		}
		for n := range min(more, r.Seeds.Max-len(v)) {
			jobs = append(jobs, job{i, r.Seeds.First + uint64(len(v)+n)})
		}
	}
	return jobs
}

// isFinished reports whether a cell with the given values of the stop measure needs no more runs.
func (r *runner) isFinished(v []float64) bool {
	return len(v) >= r.Seeds.Max || len(v) >= r.Seeds.Min && Estimate(v, r.Stop.Confidence).HalfWidth <= r.Stop.Within
}

// jobResult is a worker's result for the job at an index of the round.
type jobResult struct {
	index int
	row   Row
	err   error
}

// runRound runs jobs on concurrent workers. It writes the rows in the order of the jobs and passes each to countRow. It
// stops at the first error or when ctx ends.
func (r *runner) runRound(ctx context.Context, round int, jobs []job, values [][]float64, countRow func(job, Row)) error {
	queue, results := make(chan int), make(chan jobResult)
	workerCtx, stop := context.WithCancel(ctx)
	var workers sync.WaitGroup
	for range min(max(1, r.Workers), max(1, len(jobs))) {
		workers.Go(func() {
			for n := range queue {
				row, err := r.runJob(jobs[n])
				results <- jobResult{n, row, err}
			}
		})
	}
	go func() {
		defer close(queue)
		for n := range jobs {
			// select picks a random case if both are ready. Without this check it would start further jobs half of the time.
			if workerCtx.Err() != nil {
				return
			}
			select {
			case queue <- n:
			case <-workerCtx.Done():
				return
			}
		}
	}()
	go func() {
		workers.Wait()
		close(results)
	}()
	startedAt, waiting, next := time.Now(), make(map[int]Row), 0
	var firstErr error
	for result := range results {
		if result.err != nil && firstErr == nil {
			firstErr = result.err
			stop()
		}
		waiting[result.index] = result.row
		for firstErr == nil {
			row, ok := waiting[next]
			if !ok {
				break
			}
			delete(waiting, next)
			if firstErr = r.store.write(row); firstErr != nil {
				stop()
				break
			}
			r.results.Rows = append(r.results.Rows, row)
			countRow(jobs[next], row)
			next++
		}
		r.reportProgress(round, next, len(jobs), values, time.Since(startedAt))
	}
	stop()
	if firstErr != nil {
		return firstErr
	}
	return ctx.Err()
}

// runJob simulates a job's cell with its seed and returns the row of measures.
func (r *runner) runJob(j job) (Row, error) {
	cell := &r.Cells[j.cell]
	s := cell.Scenario
	s.Seed = j.seed
	result, err := fleet.Run(s)
	if err != nil {
		return Row{}, fmt.Errorf("%s with seed %d: %w", cell.Label(), j.seed, err)
	}
	return Row{cell.Levels, j.seed, Measure(result)}, nil
}

// reportProgress calls RunOptions.Progress if it is set.
func (r *runner) reportProgress(round, done, planned int, values [][]float64, elapsed time.Duration) {
	if r.Progress == nil {
		return
	}
	finished := 0
	for _, v := range values {
		if r.isFinished(v) {
			finished++
		}
	}
	remaining := time.Duration(0)
	if done > 0 {
		remaining = elapsed * time.Duration(planned-done) / time.Duration(done)
	}
	r.Progress(Progress{round, done, planned, finished, len(r.Cells), elapsed, remaining, r.runsWithFindings})
}
