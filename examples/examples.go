// Package examples embeds the settings of two example deployments, for the demo and the load tool and
// as a template for other deployments.
package examples

import (
	"embed"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/settings"
)

//go:embed agency/settings.yaml coop/settings.yaml
var files embed.FS

// Settings returns the settings of a deployment: "agency" or "coop". For other names the error is
// of kind NotFound.
func Settings(deployment string) (*settings.Tree, error) {
	content, err := files.ReadFile(deployment + "/settings.yaml")
	if err != nil {
		return nil, errkind.New(errkind.NotFound, "no deployment %q: choose agency or coop", deployment)
	}
	return settings.ParseYAML(content)
}
