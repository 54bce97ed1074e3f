// Command topazrock-standin is described in the README.
package main

func main() {}
