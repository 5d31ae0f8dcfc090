package loadreport

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against valid reports that are rejected or misread, with and without a work time and with
// figures that later versions of the replicas may add.
func TestValidReports(t *testing.T) {
	for text, want := range map[string]Report{
		"3,1,4":              {Running: 3, Waiting: 1, Slots: 4},
		"3,1,4,250":          {Running: 3, Waiting: 1, Slots: 4, WorkTime: 250},
		"0,0,0,1":            {WorkTime: 1},
		" 3 , 1 , 4 , 10000": {Running: 3, Waiting: 1, Slots: 4, WorkTime: 10_000},
		"3,1,4,100,x":        {Running: 3, Waiting: 1, Slots: 4, WorkTime: 100},
		"3,1,4,100,,-1,9":    {Running: 3, Waiting: 1, Slots: 4, WorkTime: 100},
	} {
		t.Run(text, func(t *testing.T) {
			g := gomega.NewWithT(t)
			report, err := Parse(text)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(report).To(gomega.Equal(want))
		})
	}
}

// Guards against a part of an unreadable report that is used, and against errors that don't say which
// figure is wrong and why.
func TestUnreadableReports(t *testing.T) {
	for text, want := range map[string]FigureError{
		"":                                {Reason: ErrTooFewFigures},
		"3":                               {Reason: ErrTooFewFigures},
		"3,1":                             {Reason: ErrTooFewFigures},
		",,":                              {Figure: "running", Reason: ErrNotAnInteger},
		"x,1,4":                           {Figure: "running", Text: "x", Reason: ErrNotAnInteger},
		"3,-1,4":                          {Figure: "waiting", Text: "-1", Reason: ErrNegative},
		"3,1,4.5":                         {Figure: "slots", Text: "4.5", Reason: ErrNotAnInteger},
		"100001,1,4":                      {Figure: "running", Text: "100001", Reason: ErrImplausible},
		"3,1,4,":                          {Figure: "work time", Reason: ErrNotAnInteger},
		"3,1,4,0":                         {Figure: "work time", Text: "0", Reason: ErrImplausible},
		"3,1,4,-250":                      {Figure: "work time", Text: "-250", Reason: ErrNegative},
		"3,1,4,10001":                     {Figure: "work time", Text: "10001", Reason: ErrImplausible},
		"3,1,4,NaN,1":                     {Figure: "work time", Text: "NaN", Reason: ErrNotAnInteger},
		"3,1,4,1e3":                       {Figure: "work time", Text: "1e3", Reason: ErrNotAnInteger},
		"3,1,4,0x10":                      {Figure: "work time", Text: "0x10", Reason: ErrNotAnInteger},
		"3;1;4;250":                       {Reason: ErrTooFewFigures},
		"3,1,4,250 ms":                    {Figure: "work time", Text: "250 ms", Reason: ErrNotAnInteger},
		"3,1,4\x00,250":                   {Figure: "slots", Text: "4\x00", Reason: ErrNotAnInteger},
		strings.Repeat("9", 400) + ",1,4": {Figure: "running", Text: strings.Repeat("9", 40), Reason: ErrNotAnInteger},
	} {
		t.Run(fmt.Sprintf("%.20q", text), func(t *testing.T) {
			g := gomega.NewWithT(t)
			report, err := Parse(text)
			g.Expect(report).To(gomega.BeZero())
			g.Expect(err).To(gomega.MatchError(want.Reason))
			var figure *FigureError
			g.Expect(errors.As(err, &figure)).To(gomega.Equal(want.Figure != ""))
			if want.Figure != "" {
				g.Expect(*figure).To(gomega.Equal(want))
			}
		})
	}
}

// FuzzParse checks that any text gives either an error without a report, or a report within bounds that
// reads the same when it is written again.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"3,1,4", "3,1,4,250", "3,1,4,250,7", "3,1", "-1,x,,", "3,1,4,0", strings.Repeat("9,", 100)} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		report, err := Parse(text)
		if err != nil {
			if report != (Report{}) {
				t.Fatalf("%q gives a report and the error %v", text, err)
			}
			return
		}
		if min(report.Running, report.Waiting, report.Slots, report.WorkTime) < 0 || max(report.Running, report.Waiting, report.Slots) > maxCount || report.WorkTime > maxWorkTime {
			t.Fatalf("%q gives %+v", text, report)
		}
		written := fmt.Sprintf("%d,%d,%d", report.Running, report.Waiting, report.Slots)
		if report.WorkTime > 0 {
			written += fmt.Sprintf(",%d", report.WorkTime)
		}
		if again, err := Parse(written); err != nil || again != report {
			t.Fatalf("%q gives %+v, which reads as %+v, %v", text, report, again, err)
		}
	})
}
