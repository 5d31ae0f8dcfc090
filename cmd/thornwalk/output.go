package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/olekukonko/tablewriter"
)

// print writes the value as JSON or YAML, or the header and rows as a table, as -o says.
func (o *options) print(value any, header []string, rows [][]string) error {
	switch o.output {
	case "json":
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case "yaml":
		content, err := yaml.MarshalWithOptions(value, yaml.UseJSONMarshaler())
		if err != nil {
			return err
		}
		_, err = os.Stdout.Write(content)
		return err
	case "table":
		table := tablewriter.NewWriter(os.Stdout)
		table.Header(header)
		for _, row := range rows {
			if err := table.Append(row); err != nil {
				return err
			}
		}
		return table.Render()
	}
	return fmt.Errorf("unknown output format %q: choose table, json or yaml", o.output)
}
