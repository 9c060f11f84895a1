/**
 * The program's entry point and wiring, and the decision module's interface ({@link dockshed.Director}) with its
 * implementation.
 */
package dockshed;
