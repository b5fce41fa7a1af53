package daemon

import (
	"context"
	"encoding/json"

	"rhubarbshore/internal/platform"
	"rhubarbshore/pkg/api"
)

// journalPage is the number of records read from a job stream at a time.
const journalPage = 512

// journal keeps a zone's accepted jobs in the platform's log.
type journal struct {
	log    *platform.Log
	stream string
}

// jobRecord is a record of a job stream: an accepted job, or the end of one.
type jobRecord struct {
	Job *api.Job  `json:"job,omitempty"`
	ID  string    `json:"id,omitempty"`
	End api.State `json:"end,omitempty"`
}

// Accept implements placer.Journal.
func (j *journal) Accept(ctx context.Context, job api.Job) error {
	return j.append(ctx, jobRecord{Job: &job})
}

// End implements placer.Journal.
func (j *journal) End(ctx context.Context, id string, state api.State) error {
	return j.append(ctx, jobRecord{ID: id, End: state})
}

func (j *journal) append(ctx context.Context, r jobRecord) error {
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = j.log.Append(ctx, j.stream, [][]byte{data})
	return err
}

// Open implements placer.Journal.
func (j *journal) Open(ctx context.Context) ([]api.Job, error) {
	open := map[string]api.Job{}
	over := map[string]bool{}
	var order []string
	for next := int64(0); ; {
		page, err := j.log.Read(ctx, j.stream, next, journalPage)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			var record jobRecord
			if json.Unmarshal(r.Data, &record) != nil {
				continue
			}
			if record.Job != nil {
				open[record.Job.ID] = *record.Job
				order = append(order, record.Job.ID)
				continue
			}
			over[record.ID] = true
		}
		next = page.Next
		if next >= page.End {
			break
		}
	}
	var out []api.Job
	for _, id := range order {
		if !over[id] {
			over[id] = true
			out = append(out, open[id])
		}
	}
	return out, nil
}
