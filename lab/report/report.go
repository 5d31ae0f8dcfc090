// Package report renders results of experiments as self-contained HTML pages with plots and a table.
package report

import (
	"bytes"
	"html/template"
	"io"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/thornwalk/thornwalk/lab/emulator"
	"github.com/thornwalk/thornwalk/lab/workload"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 0.5 * vg.Centimeter
)

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;max-width:64em;margin:2em auto}table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.3em .6em;text-align:right}td:first-child,th:first-child{text-align:left}</style>
<h1>{{.Title}}</h1>
{{range .Plots}}<div>{{.}}</div>{{end}}
<table><tr><th>policy<th>goodput{{range .Tiers}}<th>{{.}}{{end}}<th>wasted prefill<th>share<th>TTFT p95 ms<th>twice<th>false not run<th>inversions</tr>
{{range .Rows}}<tr><td>{{.Result.Policy}}<td>{{printf "%.4f" .Result.GoodputTotal}}{{range .Tiers}}<td>{{printf "%.4f" .}}{{end}}<td>{{.Result.WastedPrefillTokens}}<td>{{printf "%.4f" .Result.WastedPrefillShare}}<td>{{printf "%.0f" .Result.TTFTP95MS}}<td>{{.Result.DispatchedTwice}}<td>{{.Result.FalseNotRun}}<td>{{.Result.ShedInversions}}</tr>
{{end}}</table></html>
`))

// pageData is the data of pageTemplate.
type pageData struct {
	Title string
	Tiers []string
	Plots []template.HTML
	Rows  []row
}

type row struct {
	Result emulator.Result
	Tiers  []float64
}

// Experiment writes an HTML page with the title and the results of an experiment, by policy.
func Experiment(writer io.Writer, title string, deployment *workload.Deployment, results []emulator.Result) error {
	data := pageData{Title: title, Tiers: tiers(deployment)}
	for _, result := range results {
		rowData := row{Result: result}
		for _, tier := range data.Tiers {
			rowData.Tiers = append(rowData.Tiers, result.Goodput[tier])
		}
		data.Rows = append(data.Rows, rowData)
	}
	goodput, err := goodputPlot(data.Tiers, results)
	if err != nil {
		return err
	}
	waste, err := wastePlot(results)
	if err != nil {
		return err
	}
	data.Plots = []template.HTML{goodput, waste}
	return pageTemplate.Execute(writer, data)
}

// tiers returns the deployment's tiers in order of their rank.
func tiers(deployment *workload.Deployment) []string {
	kinds := append([]workload.Kind(nil), deployment.Kinds...)
	sort.SliceStable(kinds, func(i, j int) bool { return kinds[i].Rank < kinds[j].Rank })
	names := make([]string, len(kinds))
	for i, kind := range kinds {
		names[i] = kind.Tier
	}
	return names
}

func policies(results []emulator.Result) []string {
	names := make([]string, len(results))
	for i, result := range results {
		names[i] = result.Policy
	}
	return names
}

func goodputPlot(tiers []string, results []emulator.Result) (template.HTML, error) {
	drawing := plot.New()
	drawing.Title.Text = "Goodput by tier"
	drawing.Y.Max = 1.05
	drawing.Legend.Top = true
	for tierIndex, tier := range tiers {
		values := make(plotter.Values, len(results))
		for i, result := range results {
			values[i] = result.Goodput[tier]
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return "", err
		}
		bars.Color = plotutil.Color(tierIndex)
		bars.Offset = barWidth * vg.Length(2*tierIndex-len(tiers)+1) / 2
		drawing.Add(bars)
		drawing.Legend.Add(tier, bars)
	}
	drawing.NominalX(policies(results)...)
	return render(drawing)
}

func wastePlot(results []emulator.Result) (template.HTML, error) {
	drawing := plot.New()
	drawing.Title.Text = "Wasted share of prefill"
	values := make(plotter.Values, len(results))
	for i, result := range results {
		values[i] = result.WastedPrefillShare
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return "", err
	}
	bars.Color = plotutil.Color(0)
	drawing.Add(bars)
	drawing.NominalX(policies(results)...)
	return render(drawing)
}

func render(drawing *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	drawing.Draw(newDrawCanvas(canvas))
	var buffer bytes.Buffer
	if _, err := canvas.WriteTo(&buffer); err != nil {
		return "", err
	}
	// An XML declaration isn't allowed inside an HTML page. The content needs no escaping: it consists
	// of numbers and names from this repository.
	content := buffer.Bytes()
	if start := bytes.Index(content, []byte("<svg")); start > 0 {
		content = content[start:]
	}
	return template.HTML(content), nil
}
