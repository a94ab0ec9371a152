/** Something with a lifetime that its owner ends. Disposing twice has no effect. */
export interface Disposable {
    dispose(): void;
}

/**
 * Makes a disposable that runs `release` once.
 *
 * @example
 * const disposable = createDisposable(() => socket.destroy());
 */
export function createDisposable(release: () => void): Disposable {
    let disposed = false;
    return {
        dispose() {
            if (!disposed) {
                disposed = true;
                release();
            }
        },
    };
}

/** Collects disposables and disposes them together, latest first. */
export interface DisposableStore extends Disposable {
    register<Item extends Disposable>(item: Item): Item;
}

/**
 * Creates an empty store. An item registered after the store's disposal is disposed at once.
 *
 * @example
 * const store = createDisposableStore();
 * store.register(timer);
 * store.dispose();
 */
export function createDisposableStore(): DisposableStore {
    const items: Disposable[] = [];
    let disposed = false;
    return {
        register(item) {
            if (disposed) {
                item.dispose();
            }
            else {
                items.push(item);
            }
            return item;
        },
        dispose() {
            disposed = true;
            for (const item of items.splice(0).reverse()) {
                item.dispose();
            }
        },
    };
}
