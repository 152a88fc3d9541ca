// Command bergamotctl is the operators' and callers' tool.
package main

func main() {}
