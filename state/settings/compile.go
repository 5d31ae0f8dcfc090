package settings

import (
	"fmt"
	"sort"
	"strings"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// Sections of the tree.
const (
	SectionTiers    = "tiers"
	SectionTenants  = "tenants"
	SectionRoutes   = "routes"
	SectionServices = "services"
	SectionZones    = "zones"
	SectionNode     = "node"
)

// keyHashLength is the length of a SHA-256 sum in hexadecimal digits.
const keyHashLength = 64

// maximumBranches bounds a tree; the target has 1,800 tenants.
const maximumBranches = 20000

// Compiled is the resolved, immutable form of a tree.
type Compiled struct {
	Generation uint64
	Root       Values
	Node       Values
	tiers      []Named
	tenants    map[string]*Named
	byKeyHash  map[string]*Named
	routes     map[string]*Named
	routeNames []string
	models     map[string]*Named
	services   map[string]*Named
	zones      map[string]*Named
}

// Named is an object of a section with its values after inheritance. The name
// is the path below the section.
type Named struct {
	Name   string
	Values Values
}

// Problem is one fault of a tree.
type Problem struct {
	Path, Key, Text, Why string
}

// String names the path, the value, the limit and the remedy.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("/%s: %s", p.Path, p.Why)
	}
	return fmt.Sprintf("/%s %s=%s: %s", p.Path, p.Key, p.Text, p.Why)
}

// Compile checks the tree and resolves inheritance. The error is of kind
// InvalidSettings and lists every problem found.
func (t *Tree) Compile(generation uint64) (*Compiled, error) {
	problems := t.check()
	compiled := &Compiled{
		Generation: generation,
		tenants:    map[string]*Named{}, byKeyHash: map[string]*Named{},
		routes: map[string]*Named{}, models: map[string]*Named{},
		services: map[string]*Named{}, zones: map[string]*Named{},
	}
	if len(problems) == 0 {
		problems = compiled.fill(t)
	}
	if len(problems) > 0 {
		texts := make([]string, len(problems))
		for i, problem := range problems {
			texts[i] = problem.String()
		}
		return nil, errkind.New(errkind.InvalidSettings, "%s", strings.Join(texts, "; "))
	}
	return compiled, nil
}

func (t *Tree) check() []Problem {
	var problems []Problem
	if len(t.branches) > maximumBranches {
		problems = append(problems, Problem{Why: fmt.Sprintf("%d branches exceed %d: merge tenants that share all values", len(t.branches), maximumBranches)})
	}
	for _, branch := range t.branches {
		if !knownSection(branch.Path) {
			problems = append(problems, Problem{Path: branch.Path, Why: "unknown section: use tiers, tenants, routes, services, zones or node"})
		}
		for _, setting := range branch.Settings {
			problems = append(problems, checkSetting(branch.Path, setting)...)
		}
	}
	return problems
}

func checkSetting(path string, setting Setting) []Problem {
	problem := Problem{Path: path, Key: setting.Key, Text: setting.Text}
	spec, known := schemaByKey[setting.Key]
	if !known {
		problem.Why = "unknown key: see thornwalk config schema" + suggestion(setting.Key)
		return []Problem{problem}
	}
	if _, err := spec.parse(setting.Text); err != nil {
		problem.Why = err.Error()
		return []Problem{problem}
	}
	if setting.Key == "key_hash" && setting.Text != "" && !isHexadecimal(setting.Text) {
		problem.Why = "not a SHA-256 sum: write the 64 hexadecimal digits of the key's hash, never the key"
		return []Problem{problem}
	}
	return nil
}

func suggestion(key string) string {
	for _, spec := range schema {
		if strings.HasPrefix(spec.Key, key) || strings.HasPrefix(key, spec.Key) {
			return "; did you mean " + spec.Key + "?"
		}
	}
	return ""
}

func isHexadecimal(text string) bool {
	return len(text) == keyHashLength && strings.Trim(text, "0123456789abcdef") == ""
}

func knownSection(path string) bool {
	section, _, _ := strings.Cut(path, "/")
	switch section {
	case "", SectionTiers, SectionTenants, SectionRoutes, SectionServices, SectionZones, SectionNode:
		return true
	}
	return false
}

// Resolve returns the values in force at the path, with inheritance.
// Values that do not parse are passed over; Compile reports them.
func (t *Tree) Resolve(path string) Values {
	values := defaults()
	for _, ancestor := range ancestors(cleanPath(path)) {
		branch, found := t.Branch(ancestor)
		if !found {
			continue
		}
		branch.apply(&values)
	}
	return values
}

func (b Branch) apply(values *Values) {
	for _, setting := range b.Settings {
		spec, known := schemaByKey[setting.Key]
		if !known {
			continue
		}
		if value, err := spec.parse(setting.Text); err == nil {
			spec.assign(values, value)
		}
	}
}

func defaults() Values {
	var values Values
	for i := range schema {
		value, err := schema[i].parse(schema[i].Default)
		if err == nil {
			schema[i].assign(&values, value)
		}
	}
	return values
}

// ancestors returns "", the section, and so on down to the path itself.
func ancestors(path string) []string {
	result := []string{""}
	for i := range path {
		if path[i] == '/' {
			result = append(result, path[:i])
		}
	}
	if path != "" {
		result = append(result, path)
	}
	return result
}

func (c *Compiled) fill(tree *Tree) []Problem {
	c.Root = tree.Resolve("")
	c.Node = tree.Resolve(SectionNode)
	for _, branch := range tree.branches {
		section, name, below := strings.Cut(branch.Path, "/")
		if !below {
			continue
		}
		c.add(section, &Named{Name: name, Values: tree.Resolve(branch.Path)})
	}
	sort.Slice(c.tiers, func(i, j int) bool { return c.tiers[i].Values.Rank < c.tiers[j].Values.Rank })
	sort.Strings(c.routeNames)
	return c.checkReferences()
}

func (c *Compiled) add(section string, object *Named) {
	switch section {
	case SectionTiers:
		c.tiers = append(c.tiers, *object)
	case SectionTenants:
		c.tenants[object.Name] = object
		if object.Values.KeyHash != "" {
			c.byKeyHash[object.Values.KeyHash] = object
		}
	case SectionRoutes:
		c.routes[object.Name] = object
		c.routeNames = append(c.routeNames, object.Name)
	case SectionServices:
		service, model, isModel := strings.Cut(object.Name, "/models/")
		if isModel {
			c.models[service+"/"+model] = object
			return
		}
		c.services[object.Name] = object
	case SectionZones:
		c.zones[object.Name] = object
	}
}

func (c *Compiled) checkReferences() []Problem {
	var problems []Problem
	ranks := map[int]string{}
	for _, tier := range c.tiers {
		if other, taken := ranks[tier.Values.Rank]; taken {
			problems = append(problems, Problem{Path: SectionTiers + "/" + tier.Name, Key: "rank", Text: fmt.Sprint(tier.Values.Rank), Why: "tier " + other + " has this rank: give each tier its own"})
		}
		ranks[tier.Values.Rank] = tier.Name
	}
	for _, name := range c.routeNames {
		problems = append(problems, c.checkRoute(name, c.routes[name].Values)...)
	}
	problems = append(problems, c.checkKeyHashes()...)
	if node := c.Node; node.SuspectAfter >= node.DeadAfter {
		problems = append(problems, Problem{Path: SectionNode, Key: "suspect_after", Text: node.SuspectAfter.String(), Why: "not below dead_after " + node.DeadAfter.String() + ": lower it"})
	}
	return problems
}

func (c *Compiled) checkRoute(name string, values Values) []Problem {
	var problems []Problem
	path := SectionRoutes + "/" + name
	if _, found := c.Tier(values.Tier); !found {
		problems = append(problems, Problem{Path: path, Key: "tier", Text: values.Tier, Why: "no such tier: add the branch tiers/" + values.Tier + " or name one that exists"})
	}
	if _, found := c.services[values.Service]; !found {
		problems = append(problems, Problem{Path: path, Key: "service", Text: values.Service, Why: "no such service: add the branch services/" + values.Service + " or name one that exists"})
	}
	return problems
}

// checkKeyHashes refuses two tenants with one key, since a request could then
// belong to either. A key inherited by branches below belongs to the ancestor.
func (c *Compiled) checkKeyHashes() []Problem {
	names := make([]string, 0, len(c.tenants))
	for name := range c.tenants {
		names = append(names, name)
	}
	sort.Strings(names)
	owner := map[string]string{}
	var problems []Problem
	for _, name := range names {
		hash := c.tenants[name].Values.KeyHash
		if hash == "" {
			continue
		}
		first, taken := owner[hash]
		if !taken {
			owner[hash] = name
			c.byKeyHash[hash] = c.tenants[name]
			continue
		}
		if !strings.HasPrefix(name, first+"/") {
			problems = append(problems, Problem{Path: SectionTenants + "/" + name, Key: "key_hash", Text: hash[:8] + "…", Why: "tenant " + first + " has this key: give each tenant its own"})
		}
	}
	return problems
}

// Tier returns the tier with the name.
func (c *Compiled) Tier(name string) (*Named, bool) {
	for i := range c.tiers {
		if c.tiers[i].Name == name {
			return &c.tiers[i], true
		}
	}
	return nil, false
}

// Tiers returns all tiers, highest first.
func (c *Compiled) Tiers() []Named { return c.tiers }

// Tenant returns the tenant with the name.
func (c *Compiled) Tenant(name string) (*Named, bool) {
	tenant, found := c.tenants[name]
	return tenant, found
}

// TenantByKeyHash returns the tenant whose bearer key has the SHA-256 sum.
func (c *Compiled) TenantByKeyHash(hash string) (*Named, bool) {
	tenant, found := c.byKeyHash[hash]
	return tenant, found
}

// Route returns the route with the name.
func (c *Compiled) Route(name string) (*Named, bool) {
	route, found := c.routes[name]
	return route, found
}

// Routes returns the names of all routes in order.
func (c *Compiled) Routes() []string { return c.routeNames }

// Service returns the service with the name.
func (c *Compiled) Service(name string) (*Named, bool) {
	service, found := c.services[name]
	return service, found
}

// Services returns the names of all services in order.
func (c *Compiled) Services() []string {
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Models returns the values of each model of a service by model name.
func (c *Compiled) Models(service string) []Named {
	var models []Named
	for name, object := range c.models {
		if model, isOne := strings.CutPrefix(name, service+"/"); isOne {
			models = append(models, Named{Name: model, Values: object.Values})
		}
	}
	sort.Slice(models, func(i, j int) bool { return models[i].Name < models[j].Name })
	return models
}

// Lookup returns the text of a value in force at the path and where it comes
// from. The error is of kind InvalidSettings for a key that the schema lacks.
func (t *Tree) Lookup(path, key string) (text, origin string, err error) {
	spec, known := schemaByKey[key]
	if !known {
		return "", "", errkind.New(errkind.InvalidSettings, "unknown key %q%s", key, suggestion(key))
	}
	text, origin = spec.Default, "default"
	for _, ancestor := range ancestors(cleanPath(path)) {
		if branch, found := t.Branch(ancestor); found {
			if set, has := branch.Get(key); has {
				text, origin = set, "/"+ancestor
			}
		}
	}
	return text, origin, nil
}
