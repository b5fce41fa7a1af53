package config

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbshore/examples"
)

// BenchmarkChange measures a small change of the configuration: the size of its
// record, and the time to fold it and to parse and check the configuration of one
// site.
func BenchmarkChange(b *testing.B) {
	for _, customers := range []int{4, 40, 170} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			text, err := examples.Files.ReadFile("robes/base.toml")
			assert.NilError(b, err)
			var base strings.Builder
			base.Write(text)
			for i := 4; i < customers; i++ {
				fmt.Fprintf(&base, "\n[customers.team%03d]\nshare = 1.0\norder = %d\njobs = 100\n", i, i)
			}
			from := Version{ID: "a", Upto: 1, Files: Files{Base: base.String(), Overlays: map[string]string{"si-a": ""}}}
			to := Files{Base: strings.Replace(base.String(), "jobs = 500", "jobs = 501", 1), Overlays: from.Files.Overlays}
			data, err := NewChange("8c2f1c9e-1111-2222-3333-444455556666", "ana", from, to).Encode()
			assert.NilError(b, err)
			for b.Loop() {
				v := from.Fold(1, data)
				if _, err := v.Files.Site("si-a"); err != nil || v.ID == "a" {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/record")
			b.ReportMetric(float64(base.Len()), "B/base")
		})
	}
}
