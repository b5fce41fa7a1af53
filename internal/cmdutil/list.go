package cmdutil

import "context"

// Listing fetches a list of T and prints it.
type Listing[T any] struct {
	// ProgressText is printed if Fetch takes longer than a second.
	ProgressText string
	Fetch        func(ctx context.Context) (T, error)
	Header       []string
	Rows         func(T) [][]string
}

// Print fetches the list and prints it as a table, or as JSON.
func (l Listing[T]) Print(f *Factory, json bool) error {
	ctx, cancel := f.Context()
	defer cancel()
	defer f.Progress(l.ProgressText)()
	list, err := l.Fetch(ctx)
	if err != nil {
		return err
	}
	if json {
		return f.IO.WriteJSON(list)
	}
	return f.IO.Table(l.Header, l.Rows(list))
}
