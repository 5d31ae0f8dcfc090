package settings

import (
	"fmt"
	"sort"
	"strings"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// Sections of the tree, which are the first elements of paths.
const (
	SectionTiers    = "tiers"
	SectionTenants  = "tenants"
	SectionRoutes   = "routes"
	SectionServices = "services"
	SectionZones    = "zones"
	SectionNode     = "node"
)

// keyHashDigits is the number of hexadecimal digits of a SHA-256 sum.
const keyHashDigits = 64

// maxBranches bounds the branches of a tree.
const maxBranches = 20000

// Compiled is a validated tree with inheritance resolved. It is immutable and safe
// for concurrent use.
type Compiled struct {
	Generation uint64
	// Root and Node are the values at the root and in the node section.
	Root       Values
	Node       Values
	tiers      []Named
	tenants    map[string]*Named
	byKeyHash  map[string]*Named
	routes     map[string]*Named
	routeNames []string
	// models is keyed by service/model.
	models   map[string]*Named
	services map[string]*Named
	zones    map[string]*Named
}

// Named is an object of a section with its values after inheritance. Name is the path
// below the section.
type Named struct {
	Name   string
	Values Values
}

// Problem is a validation error of a tree. Key and Text are empty if it concerns a
// branch or the tree.
type Problem struct {
	Path, Key, Text, Reason string
}

// String returns the path, the value and the reason.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("/%s: %s", p.Path, p.Reason)
	}
	return fmt.Sprintf("/%s %s=%s: %s", p.Path, p.Key, p.Text, p.Reason)
}

// Compile validates the tree and resolves inheritance. The error is of kind
// InvalidSettings and lists all problems found.
func (t *Tree) Compile(generation uint64) (*Compiled, error) {
	problems := t.check()
	compiled := &Compiled{
		Generation: generation,
		tenants:    map[string]*Named{}, byKeyHash: map[string]*Named{},
		routes: map[string]*Named{}, models: map[string]*Named{},
		services: map[string]*Named{}, zones: map[string]*Named{},
	}
	if len(problems) == 0 {
		problems = compiled.resolveAll(t)
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

// check validates each branch and setting by itself.
func (t *Tree) check() []Problem {
	var problems []Problem
	if len(t.branches) > maxBranches {
		problems = append(problems, Problem{Reason: fmt.Sprintf("%d branches exceed the maximum of %d: merge tenants that share all values", len(t.branches), maxBranches)})
	}
	for _, branch := range t.branches {
		if !isKnownSection(branch.Path) {
			problems = append(problems, Problem{Path: branch.Path, Reason: "unknown section: use tiers, tenants, routes, services, zones or node"})
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
		problem.Reason = "unknown key: see thornwalk config schema" + suggestKey(setting.Key)
		return []Problem{problem}
	}
	if _, err := spec.parse(setting.Text); err != nil {
		problem.Reason = err.Error()
		return []Problem{problem}
	}
	if setting.Key == "key_hash" && setting.Text != "" && !isHexadecimal(setting.Text) {
		problem.Reason = "not a SHA-256 sum: write the 64 hexadecimal digits of the key's hash, never the key"
		return []Problem{problem}
	}
	return nil
}

// suggestKey returns a hint that names a key similar to key, or "".
func suggestKey(key string) string {
	for _, spec := range schema {
		if strings.HasPrefix(spec.Key, key) || strings.HasPrefix(key, spec.Key) {
			return "; did you mean " + spec.Key + "?"
		}
	}
	return ""
}

func isHexadecimal(text string) bool {
	return len(text) == keyHashDigits && strings.Trim(text, "0123456789abcdef") == ""
}

func isKnownSection(path string) bool {
	section, _, _ := strings.Cut(path, "/")
	switch section {
	case "", SectionTiers, SectionTenants, SectionRoutes, SectionServices, SectionZones, SectionNode:
		return true
	}
	return false
}

// Resolve returns the values at the path, with inheritance. Values that do not parse
// are ignored; Compile reports them.
func (t *Tree) Resolve(path string) Values {
	values := defaultValues()
	for _, ancestor := range pathAndAncestors(cleanPath(path)) {
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

func defaultValues() Values {
	var values Values
	for i := range schema {
		value, err := schema[i].parse(schema[i].Default)
		if err == nil {
			schema[i].assign(&values, value)
		}
	}
	return values
}

// pathAndAncestors returns "", the section and so on down to the path itself.
func pathAndAncestors(path string) []string {
	paths := []string{""}
	for i := range path {
		if path[i] == '/' {
			paths = append(paths, path[:i])
		}
	}
	if path != "" {
		paths = append(paths, path)
	}
	return paths
}

// resolveAll resolves the values of all objects and returns the problems between them.
func (c *Compiled) resolveAll(tree *Tree) []Problem {
	c.Root = tree.Resolve("")
	c.Node = tree.Resolve(SectionNode)
	for _, branch := range tree.branches {
		section, name, isObject := strings.Cut(branch.Path, "/")
		if !isObject {
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

// checkReferences validates values that depend on other objects or settings.
func (c *Compiled) checkReferences() []Problem {
	var problems []Problem
	ranks := map[int]string{}
	for _, tier := range c.tiers {
		if other, isDuplicate := ranks[tier.Values.Rank]; isDuplicate {
			problems = append(problems, Problem{Path: SectionTiers + "/" + tier.Name, Key: "rank", Text: fmt.Sprint(tier.Values.Rank), Reason: "tier " + other + " has this rank: give each tier its own"})
		}
		ranks[tier.Values.Rank] = tier.Name
	}
	for _, name := range c.routeNames {
		problems = append(problems, c.checkRoute(name, c.routes[name].Values)...)
	}
	problems = append(problems, c.checkKeyHashes()...)
	if node := c.Node; node.SuspectAfter >= node.DeadAfter {
		problems = append(problems, Problem{Path: SectionNode, Key: "suspect_after", Text: node.SuspectAfter.String(), Reason: "not below dead_after " + node.DeadAfter.String() + ": lower it"})
	}
	return problems
}

func (c *Compiled) checkRoute(name string, values Values) []Problem {
	var problems []Problem
	path := SectionRoutes + "/" + name
	if _, found := c.Tier(values.Tier); !found {
		problems = append(problems, Problem{Path: path, Key: "tier", Text: values.Tier, Reason: "no such tier: add the branch tiers/" + values.Tier + " or name one that exists"})
	}
	if _, found := c.services[values.Service]; !found {
		problems = append(problems, Problem{Path: path, Key: "service", Text: values.Service, Reason: "no such service: add the branch services/" + values.Service + " or name one that exists"})
	}
	return problems
}

// checkKeyHashes reports tenants with the same key, since their requests could not be
// distinguished. A key that branches inherit belongs to the ancestor that sets it.
func (c *Compiled) checkKeyHashes() []Problem {
	names := make([]string, 0, len(c.tenants))
	for name := range c.tenants {
		names = append(names, name)
	}
	sort.Strings(names)
	owners := map[string]string{}
	var problems []Problem
	for _, name := range names {
		hash := c.tenants[name].Values.KeyHash
		if hash == "" {
			continue
		}
		first, isDuplicate := owners[hash]
		if !isDuplicate {
			owners[hash] = name
			c.byKeyHash[hash] = c.tenants[name]
			continue
		}
		if !strings.HasPrefix(name, first+"/") {
			problems = append(problems, Problem{Path: SectionTenants + "/" + name, Key: "key_hash", Text: hash[:8] + "…", Reason: "tenant " + first + " has this key: give each tenant its own"})
		}
	}
	return problems
}

// Tier returns the tier and whether it exists.
func (c *Compiled) Tier(name string) (*Named, bool) {
	for i := range c.tiers {
		if c.tiers[i].Name == name {
			return &c.tiers[i], true
		}
	}
	return nil, false
}

// Tiers returns all tiers, highest first. The caller must not modify the result.
func (c *Compiled) Tiers() []Named { return c.tiers }

// Tenant returns the tenant and whether it exists.
func (c *Compiled) Tenant(name string) (*Named, bool) {
	tenant, found := c.tenants[name]
	return tenant, found
}

// TenantByKeyHash returns the tenant whose bearer key has the SHA-256 sum, in
// hexadecimal digits, and whether there is one.
func (c *Compiled) TenantByKeyHash(hash string) (*Named, bool) {
	tenant, found := c.byKeyHash[hash]
	return tenant, found
}

// Route returns the route and whether it exists.
func (c *Compiled) Route(name string) (*Named, bool) {
	route, found := c.routes[name]
	return route, found
}

// Routes returns the names of all routes, sorted. The caller must not modify the
// result.
func (c *Compiled) Routes() []string { return c.routeNames }

// Service returns the service and whether it exists.
func (c *Compiled) Service(name string) (*Named, bool) {
	service, found := c.services[name]
	return service, found
}

// Services returns the names of all services, sorted.
func (c *Compiled) Services() []string {
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Models returns the models of the service, sorted by name.
func (c *Compiled) Models(service string) []Named {
	var models []Named
	for name, object := range c.models {
		if model, isModel := strings.CutPrefix(name, service+"/"); isModel {
			models = append(models, Named{Name: model, Values: object.Values})
		}
	}
	sort.Slice(models, func(i, j int) bool { return models[i].Name < models[j].Name })
	return models
}

// Lookup returns the text of the key's value at the path and its origin: the path of
// the branch that sets it, or "default". An unknown key gives an error of kind
// InvalidSettings.
func (t *Tree) Lookup(path, key string) (text, origin string, err error) {
	spec, known := schemaByKey[key]
	if !known {
		return "", "", errkind.New(errkind.InvalidSettings, "unknown key %q%s", key, suggestKey(key))
	}
	text, origin = spec.Default, "default"
	for _, ancestor := range pathAndAncestors(cleanPath(path)) {
		if branch, found := t.Branch(ancestor); found {
			if value, isSet := branch.Get(key); isSet {
				text, origin = value, "/"+ancestor
			}
		}
	}
	return text, origin, nil
}
